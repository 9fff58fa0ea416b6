// Encodings in which a secret can hide in a text.
#ifndef CURRANTLUG_REQUESTS_TEXTFORMS_H
#define CURRANTLUG_REQUESTS_TEXTFORMS_H

#include <optional>
#include <string>
#include <string_view>

namespace currantlug::requests {

/// Replaces %XX; other text, a lone % included, stays.
std::string percentDecode(std::string_view text);

/// Encodes every byte outside letters, digits and -_.~ with upper-case hexadecimal digits.
std::string percentEncode(std::string_view text);

/// Replaces the escapes of JSON strings anywhere in the text; other backslashes stay.
std::string jsonUnescape(std::string_view text);

/// Decodes standard or web-safe base64, padded or not.
std::optional<std::string> base64Decode(std::string_view text);

/// Decodes the runs of base64 characters that are at least `minRun` long, from each of the four places at which an
/// encoded text inside the run can begin. Returns the printable pieces of at least `minRun` bytes, one per line, so
/// that decoded binary data is not searched again.
std::string base64DecodeRuns(std::string_view text, std::size_t minRun);

} // namespace currantlug::requests

#endif
