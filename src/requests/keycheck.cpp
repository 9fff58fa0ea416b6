// Search for the caller's key and removal of every form of it.
#include "requests/keycheck.h"

#include "core/error.h"
#include "core/hash.h"
#include "core/json.h"
#include "requests/textforms.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>
#include <optional>

namespace currantlug::requests {

namespace {

constexpr std::size_t MaxKeyBytes = 4096;
constexpr std::array<std::string_view, 3> KeyNames{"key", "api_key", "access_token"};
constexpr std::array<std::string_view, 4> CredentialHeaders{"authorization", "proxy-authorization", "x-api-key",
                                                            "cookie"};

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

absl::Status refuse(absl::StatusCode code, std::string_view message)
{
    return makeError(code, Step::CheckKey, "", Outcome::NotRun, message);
}

template<std::size_t N>
bool isOneOf(const std::array<std::string_view, N> &names, std::string_view name)
{
    const std::string lower = absl::AsciiStrToLower(view(name));
    return std::find(names.begin(), names.end(), lower) != names.end();
}

struct NamedValue
{
    std::string name;
    std::string value;
};

NamedValue splitPair(std::string_view pair)
{
    const std::size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    return {percentDecode(pair.substr(0, equals)), percentDecode(value)};
}

// Takes keys out of one request. Each part that can carry a key has one function.
class KeyTaker
{
public:
    explicit KeyTaker(CallerRequest &request)
        : request_(request)
    {
    }

    absl::Status takeAll(std::string_view keyField)
    {
        takeHeaders();
        takeQuery();
        if (!keyField.empty()) {
            if (formEncoded()) {
                takeFormField(keyField);
            } else {
                takeJsonField(keyField);
            }
        }
        return status_;
    }

    const std::string &key() const { return key_; }

private:
    void fail(absl::StatusCode code, std::string_view message)
    {
        if (status_.ok()) {
            status_ = refuse(code, message);
        }
    }

    void found(std::string key)
    {
        const bool printable = std::all_of(key.begin(), key.end(), [](char c) { return absl::ascii_isgraph(c); });
        if (key.size() < MinKeyBytes || key.size() > MaxKeyBytes || !printable) {
            fail(absl::StatusCode::kUnauthenticated, "key is malformed");
        } else if (!key_.empty() && key_ != key) {
            fail(absl::StatusCode::kInvalidArgument, "request carries two different keys");
        } else {
            key_ = std::move(key);
        }
    }

    void takeHeaders()
    {
        for (const auto &[name, value] : request_.headers) {
            if (absl::EqualsIgnoreCase(name, "authorization")) {
                takeAuthorization(value);
            } else if (absl::EqualsIgnoreCase(name, "x-api-key")) {
                found(std::string(absl::StripAsciiWhitespace(value)));
            } else if (absl::EqualsIgnoreCase(name, "cookie")) {
                takeCookies(value);
            }
        }
        std::erase_if(request_.headers, [](const auto &header) { return isOneOf(CredentialHeaders, header.first); });
    }

    void takeAuthorization(const std::string &value)
    {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(absl::StripAsciiWhitespace(value), absl::MaxSplits(' ', 1));
        const std::string credentials(absl::StripAsciiWhitespace(parts.second));
        if (absl::EqualsIgnoreCase(parts.first, "bearer")) {
            found(credentials);
        } else if (absl::EqualsIgnoreCase(parts.first, "basic")) {
            const std::string decoded = base64Decode(credentials).value_or("");
            const std::size_t colon = decoded.find(':');
            const std::string password = colon == std::string::npos ? "" : decoded.substr(colon + 1);
            found(password.empty() ? decoded.substr(0, colon) : password);
        } else {
            fail(absl::StatusCode::kUnauthenticated, "authorization scheme is not supported");
        }
    }

    void takeCookies(const std::string &header)
    {
        for (const absl::string_view part : absl::StrSplit(header, ';')) {
            const absl::string_view trimmed = absl::StripAsciiWhitespace(part);
            NamedValue cookie = splitPair({trimmed.data(), trimmed.size()});
            if (isOneOf(KeyNames, cookie.name)) {
                if (cookie.value.size() >= 2 && cookie.value.front() == '"' && cookie.value.back() == '"') {
                    cookie.value = cookie.value.substr(1, cookie.value.size() - 2);
                }
                found(std::move(cookie.value));
            }
        }
    }

    // Removes the pairs with one of the names from a query or form and keeps the others as they are written.
    template<class IsKeyName>
    std::string withoutKeys(std::string_view pairs, const IsKeyName &isKeyName)
    {
        std::string kept;
        for (const absl::string_view pair : absl::StrSplit(view(pairs), '&')) {
            NamedValue parsed = splitPair({pair.data(), pair.size()});
            if (isKeyName(parsed.name)) {
                found(std::move(parsed.value));
                continue;
            }
            kept += kept.empty() ? "" : "&";
            kept.append(pair.data(), pair.size());
        }
        return kept;
    }

    void takeQuery()
    {
        const std::size_t mark = request_.target.find('?');
        if (mark == std::string::npos) {
            return;
        }
        const std::string query = withoutKeys(std::string_view(request_.target).substr(mark + 1),
                                              [](const std::string &name) { return isOneOf(KeyNames, name); });
        request_.target.resize(mark);
        if (!query.empty()) {
            request_.target += "?" + query;
        }
    }

    bool formEncoded() const
    {
        return std::any_of(request_.headers.begin(), request_.headers.end(), [](const auto &header) {
            return absl::EqualsIgnoreCase(header.first, "content-type")
                && absl::StartsWithIgnoreCase(header.second, "application/x-www-form-urlencoded");
        });
    }

    void takeFormField(std::string_view keyField)
    {
        request_.body = withoutKeys(request_.body, [keyField](const std::string &name) { return name == keyField; });
    }

    void takeJsonField(std::string_view keyField)
    {
        // A repeated field has several values, of which parsers keep different ones.
        int occurrences = 0;
        const auto count = [&](int depth, Json::parse_event_t event, Json &value) {
            occurrences += depth == 1 && event == Json::parse_event_t::key && value == keyField ? 1 : 0;
            return true;
        };
        Json body = Json::parse(request_.body, count, false);
        if (!body.is_object() || occurrences == 0) {
            return;
        }
        const auto field = body.find(std::string(keyField));
        if (occurrences > 1 || !field->is_string()) {
            fail(absl::StatusCode::kInvalidArgument, "key field of the body must be one text");
            return;
        }
        const std::string key = field->get<std::string>();
        found(key);
        // The rest of the body stays byte for byte where the key is written plainly: writing it anew could change
        // numbers.
        const std::size_t at = request_.body.find("\"" + key + "\"");
        if (!key.empty() && at != std::string::npos) {
            request_.body.erase(at + 1, key.size());
        } else {
            body.erase(field);
            request_.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        }
    }

    CallerRequest &request_;
    std::string key_;
    absl::Status status_;
};

// The first part of a scrubbed request that still holds the key, empty where none does.
std::string_view partWithKey(const CallerRequest &request, const KeyRedactor &redactor)
{
    if (redactor.occursIn(request.target)) {
        return "path or query";
    }
    for (const auto &[name, value] : request.headers) {
        if (redactor.occursIn(name) || redactor.occursIn(value)) {
            return "header";
        }
    }
    return redactor.occursIn(request.body) ? "body" : "";
}

bool hasEncodedBody(const CallerRequest &request)
{
    return std::any_of(request.headers.begin(), request.headers.end(), [](const auto &header) {
        return absl::EqualsIgnoreCase(header.first, "content-encoding")
            && !absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(header.second), "identity");
    });
}

} // namespace

absl::StatusOr<KeyedRequest> takeKey(CallerRequest request, std::string_view keyField)
{
    KeyTaker taker(request);
    if (absl::Status status = taker.takeAll(keyField); !status.ok()) {
        return status;
    }
    KeyedRequest keyed;
    keyed.scrubbed = std::move(request);
    if (taker.key().empty()) {
        return keyed;
    }
    keyed.keyDigest = sha256Hex(taker.key());
    keyed.redactor = KeyRedactor(taker.key());
    if (hasEncodedBody(keyed.scrubbed)) {
        return refuse(absl::StatusCode::kInvalidArgument, "an encoded body cannot be searched for the key");
    }
    if (const std::string_view part = partWithKey(keyed.scrubbed, keyed.redactor); !part.empty()) {
        return refuse(absl::StatusCode::kInvalidArgument,
                      "the key must not occur in the " + std::string(part) + " of the request");
    }
    return keyed;
}

} // namespace currantlug::requests
