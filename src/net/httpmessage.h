// HTTP messages as the event-driven server and client pass them to the rest of the product.
#ifndef CURRANTLUG_NET_HTTPMESSAGE_H
#define CURRANTLUG_NET_HTTPMESSAGE_H

#include <absl/status/statusor.h>
#include <absl/strings/match.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::net {

struct Header
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they arrived or are sent. Names compare without regard to case.
class Headers
{
public:
    void add(std::string_view name, std::string_view value)
    {
        fields_.push_back({std::string(name), std::string(value)});
    }

    /// The first value of the field, if it is present.
    std::optional<std::string_view> find(std::string_view name) const
    {
        for (const Header &field : fields_) {
            if (absl::EqualsIgnoreCase(field.name, std::string(name))) {
                return field.value;
            }
        }
        return std::nullopt;
    }

    std::string_view valueOr(std::string_view name, std::string_view fallback) const
    {
        return find(name).value_or(fallback);
    }

    const std::vector<Header> &fields() const { return fields_; }

private:
    std::vector<Header> fields_;
};

struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query as sent.
    Headers headers;
    std::string body;
};

struct HttpResponse
{
    int status = 0;
    Headers headers;
    std::string body;
};

/// True for a path with an optional query that can be sent as it is: it starts with a slash and has no spaces and no
/// control characters.
bool isRequestTarget(std::string_view text);

/// Serializes a request with its length. `Host` must be among the headers, once. kInvalidArgument if a part of the
/// request isn't valid at its place, so that nothing can be sent that the peer takes for more than this request.
absl::StatusOr<std::string> encodeRequest(const HttpRequest &request);
/// The same without the body, up to the blank line that precedes it.
absl::StatusOr<std::string> encodeRequestHead(const HttpRequest &request);

/// Serializes the status line and the fields, without the blank line that ends them.
std::string encodeResponseHead(int status, const Headers &headers);

/// Value of a query parameter of a target, percent-decoded.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

/// The target without its query.
std::string_view pathOf(std::string_view target);

/// Percent-encodes everything but unreserved characters.
std::string percentEncode(std::string_view text);

} // namespace currantlug::net

#endif
