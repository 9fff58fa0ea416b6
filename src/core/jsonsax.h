// Base of event handlers that check JSON or CBOR without keeping its values.
#ifndef CURRANTLUG_CORE_JSONSAX_H
#define CURRANTLUG_CORE_JSONSAX_H

#include "core/json.h"

namespace currantlug::detail {

/// Accepts all values and stops at the first error.
class ValueSkipper : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return true; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }
};

} // namespace currantlug::detail

#endif
