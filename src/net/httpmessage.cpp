// Serialization of HTTP heads and access to queries.
#include "net/httpmessage.h"

#include "core/error.h"
#include "core/httpsyntax.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <iterator>

namespace currantlug::net {

namespace {

void appendFields(std::string &out, const Headers &headers)
{
    for (const Header &field : headers.fields()) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() && absl::SimpleHexAtoi(std::string(text.substr(i + 1, 2)), &value)) {
            out += static_cast<char>(value);
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
}

absl::Status invalidRequest(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::Send, "", Outcome::NotRun, message);
}

absl::Status checkRequest(const HttpRequest &request)
{
    if (!isToken(request.method)) {
        return invalidRequest("the method is not a token");
    }
    if (!isRequestTarget(request.target)) {
        return invalidRequest("the target is not a path");
    }
    int hosts = 0;
    for (const Header &field : request.headers.fields()) {
        if (!isToken(field.name) || !isFieldValue(field.value)) {
            return invalidRequest("a header field has characters that are not allowed");
        }
        // The encoder alone frames the message.
        if (absl::EqualsIgnoreCase(field.name, "Content-Length")
            || absl::EqualsIgnoreCase(field.name, "Transfer-Encoding")) {
            return invalidRequest("a header field states the length of the body");
        }
        hosts += static_cast<int>(absl::EqualsIgnoreCase(field.name, "Host"));
    }
    return hosts == 1 ? absl::OkStatus() : invalidRequest("the host is not stated once");
}

} // namespace

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && text.front() == '/'
        && std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) || c == ' '; });
}

absl::StatusOr<std::string> encodeRequest(const HttpRequest &request)
{
    auto encoded = encodeRequestHead(request);
    if (encoded.ok()) {
        *encoded += request.body;
    }
    return encoded;
}

absl::StatusOr<std::string> encodeRequestHead(const HttpRequest &request)
{
    if (absl::Status status = checkRequest(request); !status.ok()) {
        return status;
    }
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    out.reserve(out.size() + 512);
    appendFields(out, request.headers);
    if (!request.body.empty() || (request.method != "GET" && request.method != "DELETE")) {
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n", request.body.size());
    }
    out += "\r\n";
    return out;
}

std::string encodeResponseHead(int status, const Headers &headers)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    appendFields(out, headers);
    return out;
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string query(target.substr(mark + 1));
    for (const auto piece : absl::StrSplit(query, '&')) {
        const std::string_view part(piece.data(), piece.size());
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string percentEncode(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += c;
        } else {
            fmt::format_to(std::back_inserter(out), "%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return out;
}

} // namespace currantlug::net
