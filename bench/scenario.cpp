#include "scenario.h"

#include <stdexcept>

namespace currantlug::bench {

namespace {

std::vector<WorkspaceSpec> workspaces(const std::vector<std::string> &names, double trainerScale)
{
    const auto groups = [trainerScale](double count) { return static_cast<std::uint32_t>(count * trainerScale); };
    return {
        {.name = names[0],
         .trainer = true,
         .groups = groups(48),
         .meanTokens = 200,
         .sharedBlocks = 4,
         .ownBlocks = 8,
         .weight = 4},
        {.name = names[1],
         .trainer = true,
         .groups = groups(32),
         .meanTokens = 200,
         .sharedBlocks = 4,
         .ownBlocks = 8,
         .weight = 3},
        {.name = names[2],
         .trainer = true,
         .groups = groups(12),
         .meanTokens = 200,
         .sharedBlocks = 4,
         .ownBlocks = 8,
         .weight = 1},
        {.name = names[3], .arrivals = 1, .meanTokens = 150, .sharedBlocks = 20, .ownBlocks = 2},
        {.name = names[4], .arrivals = 1, .meanTokens = 150, .sharedBlocks = 20, .ownBlocks = 2, .floods = true},
        {.name = names[5],
         .pool = 1,
         .arrivals = 3,
         .meanTokens = 120,
         .sharedBlocks = 20,
         .ownBlocks = 4,
         .notRepeatable = 0.1},
        {.name = names[6],
         .pool = 1,
         .arrivals = 1,
         .meanTokens = 120,
         .sharedBlocks = 20,
         .ownBlocks = 4,
         .notRepeatable = 0.1},
        {.name = names[7], .pool = 1, .arrivals = 0.3, .meanTokens = 120, .sharedBlocks = 20, .ownBlocks = 4},
    };
}

} // namespace

Site mashiya()
{
    return {.name = "mashiya",
            .zones = {{"ifrane", "atlas"}, {"azrou", "atlas"}, {"taroudant", "souss"}},
            .pools = {{"count-checker", {{2, 2}, {2, 2}, {2, 0}}}, {"returns-desk", {{1, 0}, {1, 0}, {1, 0}}}},
            .workspaces = workspaces({"herd-training", "tag-training", "pilot-training", "evaluation", "labelling",
                                      "returns", "auctions", "vets"},
                                     1.3)};
}

Site dodoLait()
{
    // Trainers are smaller here and the shops larger.
    Site site{.name = "dodolait",
              .zones = {{"north-a", "mu-north"}, {"north-b", "mu-north"}, {"south-a", "mu-south"}},
              .pools = {{"advice-model", {{2, 2}, {2, 2}, {2, 0}}}, {"shop-app", {{1, 0}, {1, 0}, {1, 0}}}},
              .workspaces = workspaces({"advice-training", "tone-training", "night-training", "advice", "mailing",
                                        "shop", "pharmacies", "clinics"},
                                       1.0)};
    site.workspaces[3].arrivals = 3;
    return site;
}

Variant roundRobin()
{
    Variant variant{.name = "round_robin"};
    variant.settings.chooser.policy = routing::ChoicePolicy::RoundRobin;
    variant.settings.chooser.inFlightBudget = 0;
    variant.settings.fairQueue = false;
    variant.settings.admission.enabled = false;
    variant.settings.retries.enabled = false;
    variant.settings.hedges.enabled = false;
    return variant;
}

Variant leastLoaded()
{
    Variant variant = roundRobin();
    variant.name = "least_loaded";
    variant.settings.chooser.policy = routing::ChoicePolicy::LeastLoaded;
    return variant;
}

Variant policy()
{
    Variant variant{.name = "policy", .planner = true, .limits = true, .resume = true};
    return variant;
}

std::vector<std::string> partNames()
{
    return {"prefix",     "region",    "version",      "eviction_risk", "ageing", "speed",   "budget",
            "fair_queue", "admission", "retry_budget", "hedges",        "resume", "planner", "cheap"};
}

Variant policyWithout(const std::string &part)
{
    Variant variant = policy();
    variant.name = "without_" + part;
    routing::DispatcherSettings &settings = variant.settings;
    if (part == "prefix") {
        settings.chooser.prefixLocality = false;
    } else if (part == "region") {
        settings.chooser.regionCost = false;
    } else if (part == "version") {
        settings.chooser.versionPreference = false;
    } else if (part == "eviction_risk") {
        settings.chooser.evictionRisk = false;
    } else if (part == "ageing") {
        settings.chooser.reportAgeing = false;
    } else if (part == "speed") {
        settings.chooser.measuredSpeed = false;
    } else if (part == "suspicion") {
        settings.chooser.suspicion = false;
    } else if (part == "budget") {
        settings.chooser.inFlightBudget = 0;
    } else if (part == "fair_queue") {
        settings.fairQueue = false;
    } else if (part == "admission") {
        settings.admission.enabled = false;
    } else if (part == "retry_budget") {
        settings.retries.enabled = false;
    } else if (part == "hedges") {
        settings.hedges.enabled = false;
    } else if (part == "limits") {
        variant.limits = false;
    } else if (part == "resume") {
        variant.resume = false;
    } else if (part == "planner") {
        variant.planner = false;
    } else if (part == "cheap") {
        variant.cheapPlanned = false;
    } else {
        throw std::invalid_argument("unknown part: " + part);
    }
    return variant;
}

} // namespace currantlug::bench
