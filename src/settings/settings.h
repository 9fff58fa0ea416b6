// Settings from flags and environment variables, checked against a declarative table of options.
#ifndef CURRANTLUG_SETTINGS_SETTINGS_H
#define CURRANTLUG_SETTINGS_SETTINGS_H

#include "core/enumnames.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantlug::settings {

enum class OptionKind {
    Text, ///< Any text; required texts must not be empty.
    Number, ///< Integer within [min, max].
    Milliseconds, ///< Integer number of milliseconds within [min, max].
    Address, ///< host:port
    AddressList, ///< host:port, separated by commas.
    Choice, ///< One of `choices`.
};

/// One row of the option table.
struct Option
{
    std::string name; ///< Flag without dashes, in lower case with '-'. The variable is CURRANTLUG_<NAME> with '_'.
    OptionKind kind = OptionKind::Text;
    std::string defaultValue; ///< Checked like any other value. Ignored if `required`.
    std::string unit; ///< Shown in help and problems; empty if the value has none.
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::vector<std::string> choices;
    bool required = false;
    bool secret = false; ///< The value never appears in problems.
    std::string help;
};

/// The environment variable that stands in for an option's flag.
std::string environmentVariable(std::string_view optionName);

/// What the option accepts, for help and problems, for example "integer from 1 to 65535".
std::string allowedValues(const Option &option);

/// One reason why the settings are refused.
struct Problem
{
    std::string name;
    std::string value;
    std::string allowed;
    std::string source; ///< "flag --x", "environment variable CURRANTLUG_X", "default" or "not set".
    std::string message;

    /// One line with all of the above.
    std::string describe() const;
};

/// Checked values by option name. Reading a name that is not in the table, or as another kind, is a programming error.
class Settings
{
public:
    const std::string &text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    absl::Duration duration(std::string_view name) const;
    std::vector<std::string> list(std::string_view name) const;

    /// Where the value came from, in the words of Problem::source.
    const std::string &source(std::string_view name) const;

private:
    friend class SettingsParser;
    struct Value
    {
        std::string text;
        std::string source;
    };
    const Value &value(std::string_view name) const;

    std::map<std::string, Value, std::less<>> values_;
};

struct ParseResult
{
    Settings settings; ///< Complete only if there are no problems.
    std::vector<Problem> problems;
    bool helpWanted = false; ///< --help was given; problems are then not collected.
};

/// Environment by variable name.
using Environment = std::map<std::string, std::string>;

/// This process's environment.
Environment processEnvironment();

/// Flags win over environment variables, which win over defaults. Unknown flags, positional arguments, flags given
/// twice and unknown CURRANTLUG_* variables are problems. `arguments` does not hold the program name.
ParseResult parseSettings(const std::vector<Option> &table, const std::vector<std::string> &arguments,
                          const Environment &environment);

/// Help text: every option with its variable, default, unit, allowed values and meaning.
std::string helpText(std::string_view program, const std::vector<Option> &table);

/// host:port with a port from 1 to 65535. Returns false without touching the results otherwise.
bool splitAddress(std::string_view address, std::string &host, std::uint16_t &port);

} // namespace currantlug::settings

#endif
