// currantlug-bench: compares the routing policy with round-robin and least-loaded choice on the same seeded load.
#include "scenario.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

namespace {

using namespace currantlug;
using namespace currantlug::bench;

struct Options
{
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    double duration = 0;
    std::string plotFolder;
    std::vector<std::string> without;
    std::string onlyCase;
    std::string onlySite;
    bool fixedFleet = false;
};

struct MetricSpec
{
    const char *name;
    double Metrics::*value;
};

constexpr MetricSpec Specs[] = {
    {"trainer_idle_s", &Metrics::trainerIdle},
    {"staleness", &Metrics::staleness},
    {"worst_p99_s", &Metrics::worstP99},
    {"worst_share", &Metrics::worstShare},
    {"spend", &Metrics::spend},
    {"refused", &Metrics::refused},
    {"late", &Metrics::late},
    {"steps", &Metrics::steps},
};

std::vector<Variant> variants(const Options &options)
{
    std::vector<Variant> list{roundRobin(), leastLoaded(), policy()};
    if (options.fixedFleet) {
        list.push_back(policyWithout("planner"));
    }
    for (const std::string &part : options.without) {
        list.push_back(policyWithout(part));
    }
    return list;
}

Metrics mean(const Site &site, Case what, const Variant &variant, const Options &options)
{
    Metrics sum;
    for (std::uint64_t i = 0; i < options.seeds; ++i) {
        const Metrics one = simulate(site, what, variant, options.seed + i, options.duration);
        for (const MetricSpec &spec : Specs) {
            sum.*spec.value += one.*spec.value / static_cast<double>(options.seeds);
        }
    }
    return sum;
}

void printRatio(const std::string &name, const MetricSpec &spec, double policyValue, double first, double second)
{
    const bool higherIsBetter = spec.value == &Metrics::worstShare;
    const double best = higherIsBetter ? std::max(first, second) : std::min(first, second);
    if (best < 1e-9) {
        fmt::print("ratio {} {} {}\n", name, spec.name,
                   policyValue < 1e-9 ? "1.00 (both zero)" : "inf (best baseline zero)");
    } else {
        fmt::print("ratio {} {} {:.2f}\n", name, spec.name, policyValue / best);
    }
}

using Table = std::map<std::string, std::vector<Metrics>>;

/// One data file and one gnuplot script per metric; scripts/bench runs gnuplot.
void writePlots(const Options &options, const std::vector<std::string> &order, const Table &table,
                const std::vector<Variant> &list)
{
    std::filesystem::create_directories(options.plotFolder);
    for (const MetricSpec &spec : Specs) {
        const std::string base = options.plotFolder + "/" + spec.name;
        std::ofstream data(base + ".dat");
        for (const std::string &name : order) {
            data << '"' << name << '"';
            for (const Metrics &metrics : table.at(name)) {
                data << ' ' << metrics.*spec.value;
            }
            data << '\n';
        }
        std::ofstream script(base + ".gnuplot");
        script << "set terminal pngcairo size 1400,600\nset output '" << spec.name << ".png'\nset title '" << spec.name
               << "'\nset style data histograms\nset style fill solid 0.7\nset xtics rotate by -30 noenhanced\n"
               << "set key outside noenhanced\nset yrange [0:*]\nplot ";
        for (std::size_t column = 0; column < list.size(); ++column) {
            script << (column == 0 ? "" : ", ") << "'" << spec.name << ".dat' using " << column + 2
                   << ":xtic(1) title '" << list[column].name << "'";
        }
        script << '\n';
    }
}

void run(const Options &options)
{
    const std::vector<Variant> list = variants(options);
    std::vector<std::string> order;
    Table table;
    fmt::print("seed {} seeds {} duration {} s\n", options.seed, options.seeds, options.duration);
    fmt::print("{:28} {:16}", "case", "variant");
    for (const MetricSpec &spec : Specs) {
        fmt::print(" {:>14}", spec.name);
    }
    fmt::print("\n");
    for (const Site &site : {mashiya(), dodoLait()}) {
        for (const auto &[what, caseName] : EnumNames<Case>::Table) {
            if ((!options.onlyCase.empty() && options.onlyCase != caseName)
                || (!options.onlySite.empty() && options.onlySite != site.name)) {
                continue;
            }
            const std::string name = site.name + "/" + std::string(caseName);
            order.push_back(name);
            for (const Variant &variant : list) {
                const Metrics metrics = mean(site, what, variant, options);
                table[name].push_back(metrics);
                fmt::print("{:28} {:16}", name, variant.name);
                for (const MetricSpec &spec : Specs) {
                    fmt::print(" {:>14.2f}", metrics.*spec.value);
                }
                fmt::print("\n");
                std::fflush(stdout);
            }
        }
    }
    for (const std::string &name : order) {
        const std::vector<Metrics> &row = table[name];
        for (const MetricSpec &spec : Specs) {
            if (spec.value != &Metrics::steps) {
                printRatio(name, spec, row[2].*spec.value, row[0].*spec.value, row[1].*spec.value);
            }
        }
    }
    if (!options.plotFolder.empty()) {
        writePlots(options, order, table, list);
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options flags("currantlug-bench", "Compares routing policies on the same seeded load.");
        flags.add_options()("seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seeds", "Number of seeds to average over; 0 chooses", cxxopts::value<std::uint64_t>()->default_value("0"))(
            "quick", "One seed and a shorter run")("plot", "Folder for data and gnuplot scripts",
                                                   cxxopts::value<std::string>()->default_value(""))(
            "case", "Only this case", cxxopts::value<std::string>()->default_value(""))(
            "site", "Only this site", cxxopts::value<std::string>()->default_value(""))(
            "without", "Also run the policy without these parts", cxxopts::value<std::vector<std::string>>())(
            "fixed-fleet", "Also run the policy on the baselines' fixed replicas")("help", "Print usage");
        const auto parsed = flags.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}\n", flags.help());
            return 0;
        }
        const bool quick = parsed.count("quick") > 0;
        Options options{.seed = parsed["seed"].as<std::uint64_t>(),
                        .seeds = parsed["seeds"].as<std::uint64_t>(),
                        .duration = quick ? 720.0 : 1800.0,
                        .plotFolder = parsed["plot"].as<std::string>(),
                        .onlyCase = parsed["case"].as<std::string>(),
                        .onlySite = parsed["site"].as<std::string>(),
                        .fixedFleet = parsed.count("fixed-fleet") > 0};
        options.seeds = options.seeds > 0 ? options.seeds : quick ? 1 : 3;
        if (parsed.count("without") > 0) {
            options.without = parsed["without"].as<std::vector<std::string>>();
        }
        run(options);
        return 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "currantlug-bench: {}\n", error.what());
        return 2;
    }
}
