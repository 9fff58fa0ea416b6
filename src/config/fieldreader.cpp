// Checked access to JSON fields.
#include "config/fieldreader.h"

#include <algorithm>
#include <cctype>

namespace currantlug::config {

namespace {

// JSON text is checked by its parser, but CBOR from another daemon is not, and the JSON writer throws on other bytes.
bool isUtf8(const std::string &text)
{
    const std::string written = Json(text).dump(-1, ' ', false, Json::error_handler_t::ignore);
    const std::optional<Json> read = parseJson(written);
    return read && read->get<std::string>() == text;
}

} // namespace

std::string shortText(const Json &json)
{
    constexpr std::size_t MaxBytes = 80;
    std::string text = json.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > MaxBytes) {
        text.resize(MaxBytes);
        text += "...";
    }
    return text;
}

bool isName(std::string_view text)
{
    constexpr std::size_t MaxBytes = 128;
    return !text.empty() && text.size() <= MaxBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c < 0x80 && (std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-');
    });
}

FieldReader::FieldReader(const Json &json, std::string path, Problems &problems)
    : json_(json)
    , path_(std::move(path))
    , problems_(problems)
{
    if (!json_.is_object()) {
        problems_.push_back({path_.empty() ? "ticket" : path_, "an object", shortText(json_)});
    }
}

const Json *FieldReader::field(const char *name, Need need, std::string_view allowed)
{
    known_.emplace_back(name);
    if (!json_.is_object()) {
        return nullptr;
    }
    const auto found = json_.find(name);
    if (found == json_.end()) {
        if (need == Need::Required) {
            report(name, allowed, "nothing");
        }
        return nullptr;
    }
    return &*found;
}

std::string FieldReader::text(const char *name, Need need, std::size_t maxBytes)
{
    const bool required = need == Need::Required;
    const std::string allowed = fmt::format("a {}text of at most {} bytes", required ? "non-empty " : "", maxBytes);
    const Json *json = field(name, need, allowed);
    if (json == nullptr) {
        return {};
    }
    std::string value = json->is_string() ? json->get<std::string>() : std::string();
    if (!json->is_string() || value.size() > maxBytes || (required && value.empty()) || !isUtf8(value)) {
        report(name, allowed, json);
        return {};
    }
    return value;
}

std::string FieldReader::name(const char *name, Need need)
{
    const Json *json = field(name, need, NameRule);
    if (json == nullptr) {
        return {};
    }
    std::string value = json->is_string() ? json->get<std::string>() : std::string();
    if (!isName(value)) {
        report(name, NameRule, json);
        return {};
    }
    return value;
}

std::uint64_t FieldReader::count(const char *name, Need need, std::uint64_t min, std::uint64_t max)
{
    const std::string allowed = fmt::format("a whole number from {} to {}", min, max);
    const Json *json = field(name, need, allowed);
    if (json == nullptr) {
        return 0;
    }
    // Programs that build the object in memory store small literals as signed.
    const bool whole = json->is_number_unsigned() || (json->is_number_integer() && json->get<std::int64_t>() >= 0);
    const std::uint64_t value = whole ? json->get<std::uint64_t>() : 0;
    if (!whole || value < min || value > max) {
        report(name, allowed, json);
        return 0;
    }
    return value;
}

double FieldReader::amount(const char *name, Need need, bool aboveZero)
{
    constexpr double Max = 1e15; // Keeps sums of amounts exact enough and finite.
    const std::string allowed = fmt::format("a number {} 0 and at most {}", aboveZero ? "above" : "of at least", Max);
    const Json *json = field(name, need, allowed);
    if (json == nullptr) {
        return 0;
    }
    const double value = json->is_number() ? json->get<double>() : -1;
    // The negated form also refuses NaN, which CBOR can carry.
    if (!(value >= 0 && value <= Max) || (aboveZero && value == 0)) {
        report(name, allowed, json);
        return 0;
    }
    return value;
}

bool FieldReader::flag(const char *name, Need need)
{
    const Json *json = field(name, need, "true or false");
    if (json == nullptr) {
        return false;
    }
    if (!json->is_boolean()) {
        report(name, "true or false", json);
        return false;
    }
    return json->get<bool>();
}

void FieldReader::finish()
{
    if (!json_.is_object()) {
        return;
    }
    for (const auto &[name, value] : json_.items()) {
        if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
            report(shortText(name), fmt::format("no such field; fields are {}", fmt::join(known_, ", ")), &value);
        }
    }
}

void FieldReader::report(std::string_view field, std::string_view allowed, const Json *found)
{
    report(field, allowed, found == nullptr ? "nothing" : shortText(*found));
}

void FieldReader::report(std::string_view field, std::string_view allowed, std::string found)
{
    std::string path = path_.empty() ? std::string(field) : fmt::format("{}/{}", path_, field);
    problems_.push_back({std::move(path), std::string(allowed), std::move(found)});
}

} // namespace currantlug::config
