// Keeps a caller's key out of texts.
#ifndef CURRANTLUG_REQUESTS_KEYREDACTOR_H
#define CURRANTLUG_REQUESTS_KEYREDACTOR_H

#include <string>
#include <string_view>
#include <vector>

namespace currantlug::requests {

/// Removes a key from texts. Holds the key's text, so it is never logged or stored.
class KeyRedactor
{
public:
    KeyRedactor() = default;
    explicit KeyRedactor(std::string key);

    /// The text with the key, in plain, percent-encoded, JSON-escaped or base64 form, replaced by "[key]".
    std::string redact(std::string_view text) const;

    /// True where the text holds the key in one of these forms.
    bool occursIn(std::string_view text) const;

    bool empty() const { return key_.empty(); }

private:
    std::string key_;
    std::vector<std::string> forms_; ///< Texts that stand for the key, longest first.
};

} // namespace currantlug::requests

#endif
