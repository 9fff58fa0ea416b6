// CBOR between processes of the product, read with the checks that bytes of another process need.
#ifndef CURRANTLUG_CORE_CBOR_H
#define CURRANTLUG_CORE_CBOR_H

#include "core/json.h"

#include <optional>
#include <string>

namespace currantlug {

std::string encodeCbor(const Json &value);

/// The value; nothing where the bytes are no CBOR, go on behind the value, or nest deeper than 64 levels. Never throws.
std::optional<Json> parseCbor(const std::string &bytes);

} // namespace currantlug

#endif
