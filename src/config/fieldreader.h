// Reads the fields of one JSON object with checks, and collects a problem for each field that is not acceptable.
#ifndef CURRANTLUG_CONFIG_FIELDREADER_H
#define CURRANTLUG_CONFIG_FIELDREADER_H

#include "config/problem.h"
#include "core/enumnames.h"
#include "core/json.h"

#include <fmt/format.h>

#include <limits>

namespace currantlug::config {

/// Reads fields by name. Call finish() last: it reports the fields that nothing asked for.
class FieldReader
{
public:
    /// `json` and `problems` must outlive the reader. Reports a problem if `json` is not an object.
    FieldReader(const Json &json, std::string path, Problems &problems);

    /// Whether the field has to be there; a missing optional field reads as empty, 0 or false.
    enum class Need {
        Required,
        Optional,
    };

    /// The field's value, or nullptr. A missing required field is a problem.
    const Json *field(const char *name, Need need, std::string_view allowed);

    /// Text in UTF-8 of at most maxBytes; a required one is not empty.
    std::string text(const char *name, Need need, std::size_t maxBytes);
    /// An identifier: see isName().
    std::string name(const char *name, Need need);
    std::uint64_t count(const char *name, Need need, std::uint64_t min = 0,
                        std::uint64_t max = std::numeric_limits<std::int64_t>::max());
    /// A number of at least 0, or above 0.
    double amount(const char *name, Need need, bool aboveZero = false);
    bool flag(const char *name, Need need);

    template<NamedEnum E>
    E choice(const char *name)
    {
        std::string allowed = "one of";
        for (const auto &[value, valueName] : EnumNames<E>::Table) {
            allowed += fmt::format(" \"{}\"", valueName);
        }
        const Json *json = field(name, Need::Required, allowed);
        if (json == nullptr) {
            return E{};
        }
        const std::optional<E> value = json->is_string() ? parseEnum<E>(json->get<std::string>()) : std::nullopt;
        if (!value) {
            report(name, allowed, json);
        }
        return value.value_or(E{});
    }

    void finish();

    /// Adds a problem with this field; `found` may be nullptr.
    void report(std::string_view field, std::string_view allowed, const Json *found);
    void report(std::string_view field, std::string_view allowed, std::string found);

    const std::string &path() const { return path_; }

private:
    const Json &json_;
    std::string path_;
    Problems &problems_;
    std::vector<std::string> known_; ///< Fields asked for.
};

/// A value for a problem's `found`, shortened.
std::string shortText(const Json &json);

/// Names of objects: 1 to 128 letters, digits, '.', '_' or '-'. They are parts of store keys and of URLs.
inline constexpr std::string_view NameRule = "1 to 128 letters, digits, '.', '_' or '-'";
bool isName(std::string_view text);

} // namespace currantlug::config

#endif
