#include "standins/daemonlist.h"

#include "core/json.h"

#include <algorithm>

namespace currantlug::standins {

namespace {

constexpr absl::Duration RetryAddressesAfter = absl::Seconds(1); ///< When a daemon gave no usable list.

} // namespace

DaemonList::DaemonList(std::vector<std::string> seeds, std::string key, std::string zone, absl::Duration callTimeout)
    : seeds_(std::move(seeds))
    , key_(std::move(key))
    , zone_(std::move(zone))
    , callTimeout_(callTimeout)
    , addresses_(seeds_)
{
    if (addresses_.empty()) {
        addresses_.emplace_back();
    }
}

absl::StatusOr<platform::HttpAnswer> DaemonList::call(std::string_view method, const std::string &target,
                                                      const std::string &body, absl::Duration extraTime)
{
    if (monotonicNow() >= keepUntil_) {
        refresh();
    }
    return clientOf(current()).call({.method = std::string(method),
                                     .target = target,
                                     .headers = {{"Authorization", "Bearer " + key_}},
                                     .body = body,
                                     .extraTime = extraTime},
                                    Step::Send);
}

void DaemonList::moveOn()
{
    current_ = (current_ + 1) % addresses_.size();
    refresh();
}

void DaemonList::refresh()
{
    keepUntil_ = monotonicNow() + RetryAddressesAfter;
    const std::string target = "/v1/addresses?zone=" + platform::percentEncode(zone_, false);
    const absl::StatusOr<platform::HttpAnswer> answer =
        clientOf(current()).call({.target = target, .headers = {{"Authorization", "Bearer " + key_}}}, Step::Send);
    const std::optional<Json> json = answer.ok() && answer->status == 200 ? parseJson(answer->body) : std::nullopt;
    if (!json || !json->is_object() || !json->contains("addresses") || !(*json)["addresses"].is_array()) {
        return;
    }
    std::vector<std::string> learnt;
    for (const Json &entry : (*json)["addresses"]) {
        learnt.push_back(fieldOr<std::string>(entry, "address", ""));
    }
    std::erase(learnt, "");
    if (learnt.empty()) {
        return;
    }
    const auto known = static_cast<std::ptrdiff_t>(learnt.size());
    for (const std::string &seed : seeds_) {
        if (std::find(learnt.begin(), learnt.end(), seed) == learnt.end()) {
            learnt.push_back(seed);
        }
    }
    // A daemon that is no longer in the learnt part is stopping, so the trainer leaves it.
    const std::string inUse = current();
    const auto last = learnt.begin() + known;
    const auto found = std::find(learnt.begin(), last, inUse);
    current_ = found == last ? 0 : static_cast<std::size_t>(found - learnt.begin());
    addresses_ = std::move(learnt);
    keepUntil_ = monotonicNow() + absl::Milliseconds(fieldOr<std::int64_t>(*json, "keep_ms", 1000));
}

platform::HttpClient &DaemonList::clientOf(const std::string &address)
{
    std::unique_ptr<platform::HttpClient> &client = clients_[address];
    if (!client) {
        platform::HttpClientSettings settings{.callTimeout = callTimeout_};
        platform::parsePeer(address, settings);
        client = std::make_unique<platform::HttpClient>(settings);
    }
    return *client;
}

} // namespace currantlug::standins
