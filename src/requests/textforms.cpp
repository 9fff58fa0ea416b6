// Decoders that accept any text.
#include "requests/textforms.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace currantlug::requests {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

std::optional<std::uint32_t> hexNumber(std::string_view digits)
{
    std::uint32_t value = 0;
    for (const char c : digits) {
        const std::size_t digit = HexDigits.find(absl::ascii_tolower(static_cast<unsigned char>(c)));
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        value = value << 4U | static_cast<std::uint32_t>(digit);
    }
    return value;
}

constexpr std::int8_t NoSextet = -1;

// The six bits of each character of either base64 alphabet. A table, because whole bodies are searched.
constexpr std::array<std::int8_t, 256> makeSextets()
{
    std::array<std::int8_t, 256> sextets{};
    sextets.fill(NoSextet);
    constexpr std::string_view Standard = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    for (std::size_t i = 0; i < Standard.size(); ++i) {
        sextets[static_cast<unsigned char>(Standard[i])] = static_cast<std::int8_t>(i);
    }
    sextets['-'] = sextets['+'];
    sextets['_'] = sextets['/'];
    return sextets;
}
constexpr std::array<std::int8_t, 256> Sextets = makeSextets();

bool isBase64(char c)
{
    return Sextets[static_cast<unsigned char>(c)] != NoSextet;
}

// Decodes characters that all have six bits and appends the printable pieces of at least `minPiece` bytes, one per
// line. Bits left over at the end are dropped.
void appendDecoded(std::string_view run, std::size_t minPiece, std::string &result)
{
    std::uint32_t bits = 0;
    unsigned count = 0;
    std::size_t piece = result.size();
    const auto endPiece = [&] {
        if (result.size() - piece < minPiece) {
            result.resize(piece);
        } else {
            result += '\n';
        }
        piece = result.size();
    };
    for (const char c : run) {
        bits = bits << 6U | static_cast<std::uint32_t>(Sextets[static_cast<unsigned char>(c)]);
        count += 6;
        if (count < 8) {
            continue;
        }
        count -= 8;
        const auto byte = static_cast<unsigned char>(bits >> count & 0xffU);
        if (absl::ascii_isprint(byte)) {
            result += static_cast<char>(byte);
        } else {
            endPiece();
        }
    }
    endPiece();
}

// The byte that a two-character escape stands for.
std::optional<char> shortEscape(char c)
{
    switch (c) {
    case '"':
    case '\\':
    case '/':
        return c;
    case 'b':
        return '\b';
    case 'f':
        return '\f';
    case 'n':
        return '\n';
    case 'r':
        return '\r';
    case 't':
        return '\t';
    default:
        return std::nullopt;
    }
}

} // namespace

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = text[i] == '%' && i + 2 < text.size() ? hexNumber(text.substr(i + 1, 2)) : std::nullopt;
        decoded += byte ? static_cast<char>(*byte) : text[i];
        i += byte ? 2 : 0;
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        const bool plain = absl::ascii_isalnum(static_cast<unsigned char>(c)) || std::string_view("-_.~").find(c) < 4;
        encoded += plain ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

std::string jsonUnescape(std::string_view text)
{
    constexpr std::size_t UnicodeEscape = 6; // \uXXXX
    constexpr std::uint32_t AsciiEnd = 0x80;
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '\\' || i + 1 == text.size()) {
            decoded += text[i];
            continue;
        }
        // Keys are ASCII, so other code points stay escaped.
        const auto code =
            text[i + 1] == 'u' && i + UnicodeEscape <= text.size() ? hexNumber(text.substr(i + 2, 4)) : std::nullopt;
        if (code && *code < AsciiEnd) {
            decoded += static_cast<char>(*code);
            i += UnicodeEscape - 1;
        } else if (const auto byte = shortEscape(text[i + 1]); byte) {
            decoded += *byte;
            ++i;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    std::string standard(text);
    std::replace(standard.begin(), standard.end(), '-', '+');
    std::replace(standard.begin(), standard.end(), '_', '/');
    std::string decoded;
    if (!absl::Base64Unescape(standard, &decoded)) {
        return std::nullopt;
    }
    return decoded;
}

std::string base64DecodeRuns(std::string_view text, std::size_t minRun)
{
    constexpr std::size_t Quantum = 4;
    std::string result;
    std::size_t begin = 0;
    while (begin < text.size()) {
        std::size_t end = begin;
        while (end < text.size() && isBase64(text[end])) {
            ++end;
        }
        // Characters such as "/" also stand between texts, so an encoded text can begin anywhere in the run.
        for (std::size_t shift = 0; shift < Quantum && begin + shift + minRun <= end; ++shift) {
            appendDecoded(text.substr(begin + shift, end - begin - shift), minRun, result);
        }
        begin = end + 1;
    }
    return result;
}

} // namespace currantlug::requests
