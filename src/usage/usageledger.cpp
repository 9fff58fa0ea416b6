// Encoding of usage windows.
#include "usage/usageledger.h"

#include <fmt/format.h>

namespace currantlug::usage {

std::string partialKey(WindowNumber window, std::string_view daemonIncarnation)
{
    return fmt::format("usage/partials/{:012}/{}", window, daemonIncarnation);
}

std::string frozenKey(WindowNumber window)
{
    return fmt::format("usage/frozen/{:012}", window);
}

std::string FrozenWindow::encode() const
{
    return Json{{"window", window}, {"usage", toJson(usage)}, {"partials", partials}}.dump();
}

std::optional<FrozenWindow> FrozenWindow::decode(std::string_view text)
{
    const std::optional<Json> json = parseJson(text);
    if (!json || !json->is_object() || !json->contains("usage") || !json->contains("window")) {
        return std::nullopt;
    }
    FrozenWindow frozen{fieldOr<std::int64_t>(*json, "window", 0), usageFromJson((*json)["usage"]), {}};
    for (const Json &name : json->value("partials", Json::array())) {
        if (name.is_string()) {
            frozen.partials.push_back(name.get<std::string>());
        }
    }
    return frozen;
}

std::vector<WindowReport> reportsOf(const FrozenWindow &frozen)
{
    std::vector<WindowReport> reports;
    for (const auto &[workspace, figures] : frozen.usage) {
        reports.push_back({workspace, std::to_string(frozen.window),
                           Json{{"requests", figures.requests}, {"tokens", figures.tokens}}.dump()});
    }
    return reports;
}

} // namespace currantlug::usage
