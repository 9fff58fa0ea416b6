// Checks of the parts of HTTP messages (RFC 9110 and 9112), shared by the clients that read answers and the encoders
// that write requests.
#ifndef CURRANTLUG_CORE_HTTPSYNTAX_H
#define CURRANTLUG_CORE_HTTPSYNTAX_H

#include <string_view>

namespace currantlug {

/// True for a method or the name of a field (RFC 9110, "token").
bool isToken(std::string_view text);
/// True for the value of a field: visible characters, spaces, tabs and bytes above 0x7F. The empty value is one.
bool isFieldValue(std::string_view text);

/// Returns why an answer with this status can't be used, or an empty text if it can. Clients here never ask a peer to
/// switch protocols, so status 101 answers no request of theirs.
std::string_view responseStatusFlaw(int status);
/// The same for one field of the answer's head. Of the transfer codings only "chunked" is decoded: with another one the
/// bytes that follow are not the peer's body.
std::string_view responseFieldFlaw(std::string_view name, std::string_view value);

} // namespace currantlug

#endif
