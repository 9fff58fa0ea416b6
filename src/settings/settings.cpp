// Parses flags with cxxopts, fills in from the environment, and checks every value before it reports.
#include "settings/settings.h"

#include <absl/strings/str_split.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace currantlug::settings {

namespace {

constexpr std::string_view VariablePrefix = "CURRANTLUG_";
constexpr const char *DefaultSource = "default";
constexpr const char *HiddenValue = "(hidden)";

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string> splitList(const std::string &text)
{
    if (text.empty()) {
        return {};
    }
    return absl::StrSplit(text, ',');
}

bool isAddress(const std::string &text)
{
    std::string host;
    std::uint16_t port = 0;
    return splitAddress(text, host, port);
}

bool isNumberInRange(const Option &option, const std::string &text)
{
    const auto value = parseInteger(text);
    return value && *value >= option.min && *value <= option.max;
}

bool isAllowed(const Option &option, const std::string &text)
{
    if (text.empty() && !option.required && option.kind != OptionKind::Number
        && option.kind != OptionKind::Milliseconds) {
        return true;
    }
    switch (option.kind) {
    case OptionKind::Text:
        return !text.empty();
    case OptionKind::Number:
    case OptionKind::Milliseconds:
        return isNumberInRange(option, text);
    case OptionKind::Address:
        return isAddress(text);
    case OptionKind::AddressList: {
        const std::vector<std::string> parts = splitList(text);
        return !parts.empty() && std::all_of(parts.begin(), parts.end(), isAddress);
    }
    case OptionKind::Choice:
        return std::find(option.choices.begin(), option.choices.end(), text) != option.choices.end();
    }
    return false;
}

std::string upperCase(std::string_view name)
{
    std::string result;
    for (const char c : name) {
        result += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return result;
}

} // namespace

std::string environmentVariable(std::string_view optionName)
{
    return std::string(VariablePrefix) + upperCase(optionName);
}

std::string allowedValues(const Option &option)
{
    const std::string orEmpty = option.required ? "" : ", or empty";
    switch (option.kind) {
    case OptionKind::Text:
        return option.required ? "text that is not empty" : "any text";
    case OptionKind::Number:
    case OptionKind::Milliseconds:
        return fmt::format("integer from {} to {}{}{}", option.min, option.max, option.unit.empty() ? "" : " ",
                           option.unit);
    case OptionKind::Address:
        return "host:port with a port from 1 to 65535" + orEmpty;
    case OptionKind::AddressList:
        return "host:port[,host:port...] with ports from 1 to 65535" + orEmpty;
    case OptionKind::Choice:
        return fmt::format("one of {}", fmt::join(option.choices, ", "));
    }
    return {};
}

std::string Problem::describe() const
{
    return fmt::format("{}: {} (value \"{}\" from {}; allowed: {})", name, message, value, source, allowed);
}

bool splitAddress(std::string_view address, std::string &host, std::uint16_t &port)
{
    constexpr std::int64_t MaxPort = 65535;
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto number = parseInteger(address.substr(colon + 1));
    const std::string_view name = address.substr(0, colon);
    if (!number || *number < 1 || *number > MaxPort || name.find_first_of(" \t,/") != std::string_view::npos) {
        return false;
    }
    host = std::string(name);
    port = static_cast<std::uint16_t>(*number);
    return true;
}

// Collects raw values by source, then checks them.
class SettingsParser
{
public:
    SettingsParser(const std::vector<Option> &table, const Environment &environment)
        : table_(table)
        , environment_(environment)
    {
    }

    ParseResult run(const std::vector<std::string> &arguments)
    {
        readFlags(arguments);
        if (result_.helpWanted) {
            return {{}, {}, true};
        }
        refuseUnknownVariables();
        for (const Option &option : table_) {
            takeValue(option);
        }
        return std::move(result_);
    }

private:
    void addProblem(std::string name, std::string value, std::string allowed, std::string source, std::string message)
    {
        result_.problems.push_back(
            {std::move(name), std::move(value), std::move(allowed), std::move(source), std::move(message)});
    }

    void readFlags(const std::vector<std::string> &arguments)
    {
        cxxopts::Options options("currantlug");
        // Unknown flags are collected instead of thrown, so that all of them are reported.
        options.allow_unrecognised_options();
        options.add_options()("help", "");
        for (const Option &option : table_) {
            options.add_options()(option.name, option.help, cxxopts::value<std::string>());
        }
        std::vector<const char *> argv{"currantlug"};
        for (const std::string &argument : arguments) {
            argv.push_back(argument.c_str());
        }
        try {
            const cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
            result_.helpWanted = parsed.count("help") > 0;
            reportUnknown(parsed.unmatched());
            // arguments() holds every occurrence, so a flag given twice is seen.
            for (const cxxopts::KeyValue &given : parsed.arguments()) {
                flags_[given.key()].push_back(given.value());
            }
        } catch (const cxxopts::exceptions::exception &error) {
            // The arguments are not shown: one of them may be a secret.
            addProblem("command line", "", "--name=value", "command line", error.what());
        }
    }

    // Values are left out, also where one follows its flag as an argument: a mistyped flag may carry a secret.
    void reportUnknown(const std::vector<std::string> &arguments)
    {
        bool afterFlag = false;
        for (const std::string &argument : arguments) {
            const bool isFlag = !argument.empty() && argument.front() == '-';
            if (isFlag || !afterFlag) {
                addProblem(argument.substr(0, argument.find('=')), "", "a flag of this program, see --help",
                           "command line", "unknown argument");
            }
            afterFlag = isFlag && argument.find('=') == std::string::npos;
        }
    }

    void refuseUnknownVariables()
    {
        for (const auto &[variable, value] : environment_) {
            if (variable.compare(0, VariablePrefix.size(), VariablePrefix) != 0) {
                continue;
            }
            const bool known = std::any_of(table_.begin(), table_.end(), [&name = variable](const Option &option) {
                return environmentVariable(option.name) == name;
            });
            if (!known) {
                addProblem(variable, value, "a variable listed by --help", "environment variable " + variable,
                           "unknown variable");
            }
        }
    }

    void takeValue(const Option &option)
    {
        Settings::Value value{option.defaultValue, DefaultSource};
        const std::string variable = environmentVariable(option.name);
        const auto flag = flags_.find(option.name);
        const auto fromEnvironment = environment_.find(variable);
        if (flag != flags_.end()) {
            value = {flag->second.back(), "flag --" + option.name};
        } else if (fromEnvironment != environment_.end()) {
            value = {fromEnvironment->second, "environment variable " + variable};
        } else if (option.required) {
            value = {"", "not set"};
        }
        const std::string shown = option.secret && !value.text.empty() ? HiddenValue : value.text;
        if (flag != flags_.end() && flag->second.size() > 1) {
            addProblem(option.name, shown, allowedValues(option), value.source, "flag given more than once");
        } else if (option.required && value.text.empty()) {
            addProblem(option.name, shown, allowedValues(option), value.source, "required");
        } else if (!isAllowed(option, value.text)) {
            addProblem(option.name, shown, allowedValues(option), value.source, "value not allowed");
        }
        result_.settings.values_[option.name] = std::move(value);
    }

    const std::vector<Option> &table_;
    const Environment &environment_;
    std::map<std::string, std::vector<std::string>> flags_;
    ParseResult result_;
};

ParseResult parseSettings(const std::vector<Option> &table, const std::vector<std::string> &arguments,
                          const Environment &environment)
{
    return SettingsParser(table, environment).run(arguments);
}

const Settings::Value &Settings::value(std::string_view name) const
{
    const auto found = values_.find(name);
    assert(found != values_.end());
    return found->second;
}

const std::string &Settings::text(std::string_view name) const
{
    return value(name).text;
}

std::int64_t Settings::number(std::string_view name) const
{
    return parseInteger(value(name).text).value_or(0);
}

absl::Duration Settings::duration(std::string_view name) const
{
    return absl::Milliseconds(number(name));
}

std::vector<std::string> Settings::list(std::string_view name) const
{
    return splitList(value(name).text);
}

const std::string &Settings::source(std::string_view name) const
{
    return value(name).source;
}

Environment processEnvironment()
{
    Environment result;
    for (char **entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view text(*entry);
        const std::size_t equals = text.find('=');
        if (equals != std::string_view::npos) {
            result.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return result;
}

std::string helpText(std::string_view program, const std::vector<Option> &table)
{
    std::string text = fmt::format("usage: {} [--name=value]...\n\nFlags win over environment variables.\n", program);
    for (const Option &option : table) {
        const std::string fallback = option.required ? "required" : "default \"" + option.defaultValue + "\"";
        text += fmt::format("\n--{}  ({}, {})\n    {}\n    allowed: {}\n", option.name,
                            environmentVariable(option.name), fallback, option.help, allowedValues(option));
    }
    return text;
}

} // namespace currantlug::settings
