// Sends one request to a plain service and reads its whole answer.
#include "endpoints/serviceclient.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <array>

namespace currantlug::endpoints {

namespace {

constexpr std::size_t MaxPathBytes = 8 << 10;
constexpr int HttpNoContent = 204;
constexpr const char *RequestIdHeader = "X-Request-Id";

constexpr std::array<std::string_view, 5> Forwarded{"accept", "accept-language", "content-type", "idempotency-key",
                                                    "if-match"};
constexpr std::array<std::string_view, 7> Returned{
    "content-type", "content-language", "content-encoding", "cache-control", "etag", "location", "retry-after"};
constexpr std::array<std::string_view, 7> Methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

template<std::size_t N>
bool listed(const std::array<std::string_view, N> &names, std::string_view name)
{
    const std::string lower = absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
    return std::find(names.begin(), names.end(), lower) != names.end();
}

bool hasControl(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

// A reason not to send the request, empty where there is none. Line ends in a path or header would start another
// request on the connection.
std::string_view problem(const ServiceRequest &request, std::size_t maxBytes)
{
    if (std::find(Methods.begin(), Methods.end(), request.method) == Methods.end()) {
        return "method is not supported";
    }
    if (!request.path.starts_with('/') || request.path.size() > MaxPathBytes || hasControl(request.path)
        || request.path.find(' ') != std::string::npos) {
        return "path is malformed or too long";
    }
    if (request.body.size() > maxBytes) {
        return "body is too long";
    }
    for (const auto &[name, value] : request.headers) {
        if (hasControl(name) || hasControl(value)) {
            return "header has control characters";
        }
    }
    return hasControl(request.requestId) || request.requestId.empty() ? "request id is malformed" : std::string_view();
}

httplib::Request toHttp(const ServiceRequest &request)
{
    httplib::Request http;
    http.method = request.method;
    http.path = request.path;
    http.headers = {{RequestIdHeader, request.requestId}, {"Accept-Encoding", "identity"}};
    for (const auto &[name, value] : request.headers) {
        if (mayForwardHeader(name)) {
            http.headers.emplace(name, value);
        }
    }
    http.body = request.body;
    return http;
}

// False where only the end of the connection would mark the end of the answer.
bool hasKnownEnd(const httplib::Response &response, std::string_view method)
{
    return method == "HEAD" || response.status == HttpNoContent || response.has_header("Content-Length")
        || absl::EqualsIgnoreCase(response.get_header_value("Transfer-Encoding"), "chunked");
}

} // namespace

bool mayForwardHeader(std::string_view name)
{
    return listed(Forwarded, name);
}

bool mayReturnHeader(std::string_view name)
{
    return listed(Returned, name);
}

absl::StatusOr<ServiceAnswer> ServiceClient::call(const ServiceRequest &request, CancelFlag *cancel)
{
    const auto fail = [&request](absl::StatusCode code, Step step, Outcome outcome, std::string_view message) {
        return makeError(code, step, request.address, outcome, message);
    };
    if (const std::string_view reason = problem(request, settings_.maxRequestBytes); !reason.empty()) {
        return fail(absl::StatusCode::kInvalidArgument, Step::Send, Outcome::NotRun, reason);
    }
    auto connection = pool_.take(request.address, !request.freshConnection);
    if (!connection.ok()) {
        return connection.status();
    }
    ServiceAnswer answer;
    bool tooLong = false;
    ConnectionPool::Progress progress;
    httplib::Response response;
    httplib::Request http = toHttp(request);
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        progress.mark();
        tooLong = answer.body.size() + size > settings_.maxAnswerBytes;
        if (!tooLong) {
            answer.body.append(data, size);
        }
        return !tooLong;
    };
    const auto exchange = pool_.run(**connection, http, response, request.deadlines, progress, cancel);

    if (tooLong) {
        return fail(absl::StatusCode::kResourceExhausted, Step::ReadAnswer, Outcome::Ran, "answer is too long");
    }
    if (!exchange.complete) {
        return exchangeError(exchange, request.address);
    }
    if (!hasKnownEnd(response, request.method)) {
        return fail(absl::StatusCode::kUnavailable, Step::ReadAnswer, Outcome::Ran,
                    "answer has no length, so its end cannot be told from a cut");
    }
    const bool echoed = response.has_header(RequestIdHeader);
    if (echoed && response.get_header_value(RequestIdHeader) != request.requestId) {
        return fail(absl::StatusCode::kDataLoss, Step::ReadAnswer, Outcome::MayHaveRun,
                    "answer carries the id of another request");
    }
    if (echoed) {
        pool_.giveBack(std::move(*connection));
    }
    answer.status = response.status;
    for (const auto &[name, value] : response.headers) {
        if (mayReturnHeader(name)) {
            answer.headers.emplace_back(name, value);
        }
    }
    return answer;
}

} // namespace currantlug::endpoints
