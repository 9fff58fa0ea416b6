// Configuration loops of one daemon.
#include "services/configservice.h"

#include "core/error.h"
#include "services/meshcalls.h"
#include "services/ticketpusher.h"
#include "telemetry/log.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace currantlug::services {

using config::ConfigState;
using config::Serving;
using config::Ticket;

namespace {

std::int64_t wallMs()
{
    return absl::ToUnixMillis(absl::Now());
}

Json attestationJson(const config::Attestation &attestation)
{
    const bool finite = attestation.age < absl::InfiniteDuration();
    Json json{{"attested", attestation.attested},
              {"synced", attestation.synced},
              {"head", attestation.head},
              {"members_version", attestation.membersVersion}};
    if (finite) {
        json["age_ms"] = absl::ToInt64Milliseconds(attestation.age) + 1;
    }
    return json;
}

config::Attestation attestationFrom(const Json &json)
{
    config::Attestation attestation;
    attestation.attested = fieldOr<bool>(json, "attested", false);
    attestation.synced = fieldOr<bool>(json, "synced", false);
    attestation.head = fieldOr<std::uint64_t>(json, "head", 0);
    attestation.membersVersion = fieldOr<std::uint64_t>(json, "members_version", 0);
    if (json.contains("age_ms")) {
        attestation.age = absl::Milliseconds(fieldOr<std::int64_t>(json, "age_ms", 0));
    }
    return attestation;
}

} // namespace

ConfigService::ConfigService(DaemonId self, mesh::Mesh &mesh, MemberService &members, platform::HttpObjectStore &store,
                             ConfigServiceSettings settings)
    : self_(std::move(self))
    , mesh_(mesh)
    , members_(members)
    , store_(store)
    , settings_(settings)
    , reader_(store)
    , freshness_(self_, settings_.freshness, monotonicNow())
{
}

ConfigService::~ConfigService()
{
    stop();
}

void ConfigService::registerHandlers()
{
    mesh_.setHandler("config_pull", [this](const mesh::PeerInfo &, const Json &body) { return handlePull(body); });
    mesh_.setHandler("ticket_push",
                     [this](const mesh::PeerInfo &from, const Json &body) { return handlePush(from, body); });
    mesh_.setHandler("attest", [this](const mesh::PeerInfo &, const Json &) { return handleAttest(); });
}

void ConfigService::start()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = false;
    }
    threads_.emplace_back([this] { runReader(); });
    threads_.emplace_back([this] { runAttester(); });
    threads_.emplace_back([this] { watchServing(); });
}

void ConfigService::stop()
{
    {
        const std::lock_guard lock(stopMutex_);
        stopping_ = true;
    }
    stopChanged_.notify_all();
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

bool ConfigService::waitFor(absl::Duration duration)
{
    std::unique_lock lock(stopMutex_);
    stopChanged_.wait_for(lock, absl::ToChronoMilliseconds(duration), [this] { return stopping_; });
    return !stopping_;
}

// Reading

void ConfigService::runReader()
{
    for (;;) {
        bool wantsStore = members_.isRelay();
        {
            const std::lock_guard lock(mutex_);
            // A daemon whose pulls bring nothing fresh tries the store itself.
            wantsStore = wantsStore || freshness_.wantsAttestations(monotonicNow());
        }
        const bool read = wantsStore && readStore();
        const bool pulled = !read && pullFromAny();
        // A relay's store call waits up to a second by itself.
        const absl::Duration pause = read ? absl::Milliseconds(1)
            : pulled                      ? settings_.pullInterval
                                          : settings_.retryPause;
        if (!waitFor(wantsStore && !read ? settings_.retryPause : pause)) {
            return;
        }
    }
}

bool ConfigService::readStore()
{
    if (members_.isRelay()) {
        members_.refresh().IgnoreError();
    }
    const std::shared_ptr<const ConfigState> held = current();
    const absl::StatusOr<config::ConfigUpdate> update = reader_.poll(*held);
    if (!update.ok()) {
        return false;
    }
    applyUpdate(*update);
    std::shared_ptr<const ConfigState> newestSnapshot;
    {
        const std::lock_guard lock(mutex_);
        newestSnapshot = history_.newestSnapshot();
    }
    if (members_.isRelay()) {
        if (absl::Status status = reader_.maintain(*current(), newestSnapshot.get()); !status.ok()) {
            telemetry::log(telemetry::Level::Warning, "config", "maintain_failed", telemetry::errorFields(status));
        }
    }
    return true;
}

bool ConfigService::pullFromAny()
{
    for (const DaemonId &id : members_.pullOrder()) {
        if (pullFrom(id).ok()) {
            return true;
        }
    }
    return false;
}

absl::Status ConfigService::pullFrom(const DaemonId &id)
{
    const MemberSnapshot members = members_.snapshot();
    Json request{{"head", current()->number()},
                 {"members_version", members.list.version()},
                 {"members_unconfirmed", !members.confirmed}};
    const Instant sentAt = monotonicNow();
    const absl::StatusOr<Json> answer = mesh_.call(id, "config_pull", std::move(request), settings_.pullTimeout);
    if (!answer.ok()) {
        return answer.status();
    }
    takePulled(*answer, sentAt);
    return absl::OkStatus();
}

void ConfigService::takePulled(const Json &answer, Instant sentAt)
{
    config::ConfigUpdate update;
    if (answer.contains("snapshot")) {
        absl::StatusOr<ConfigState> state = ConfigState::fromJson(answer["snapshot"]);
        if (!state.ok()) {
            telemetry::log(telemetry::Level::Warning, "config", "bad_snapshot", telemetry::errorFields(state.status()));
            return;
        }
        update.state = *std::move(state);
    }
    for (const Json &json : answer.value("tickets", Json::array())) {
        absl::StatusOr<Ticket> ticket = config::parseTicket(json);
        if (!ticket.ok()) {
            telemetry::log(telemetry::Level::Warning, "config", "bad_ticket", telemetry::errorFields(ticket.status()));
            return;
        }
        update.tickets.push_back(*std::move(ticket));
    }
    // Without an age the other side has no confirmation to pass on.
    if (answer.contains("age_ms")) {
        update.head = fieldOr<std::uint64_t>(answer, "head", 0);
        update.asOf = sentAt - absl::Milliseconds(fieldOr<std::int64_t>(answer, "age_ms", 0));
    }
    applyUpdate(update);
    // After the tickets: the other side holds this list together with its head.
    if (answer.contains("members") && current()->number() >= fieldOr<std::uint64_t>(answer, "head", 0)) {
        if (const auto list = membership::MemberList::fromJson(answer["members"]); list.ok()) {
            members_.adopt(*list, fieldOr<bool>(answer, "members_confirmed", false));
        }
    }
}

// Mesh handlers

Json ConfigService::handlePull(const Json &body)
{
    const std::uint64_t theirHead = fieldOr<std::uint64_t>(body, "head", 0);
    const std::uint64_t theirMembers = fieldOr<std::uint64_t>(body, "members_version", 0);
    const MemberSnapshot members = members_.snapshot();
    const std::lock_guard lock(mutex_);
    Json answer{{"head", history_.head()}};
    const absl::Duration age = freshness_.age(monotonicNow());
    if (age < absl::InfiniteDuration()) {
        answer["age_ms"] = absl::ToInt64Milliseconds(age) + 1;
    }
    if (history_.head() > theirHead) {
        const auto tickets = history_.ticketsAfter(theirHead);
        if (tickets) {
            Json list = Json::array();
            for (const Ticket &ticket : *tickets) {
                list.push_back(config::toJson(ticket));
            }
            answer["tickets"] = std::move(list);
        } else {
            answer["snapshot"] = history_.current()->toJson();
        }
    }
    // A list that the other side holds is sent again when it is known to be in effect here and not there.
    const bool confirmsTheirs = members.confirmed && fieldOr<bool>(body, "members_unconfirmed", false);
    if (members.list.version() > theirMembers || confirmsTheirs) {
        answer["members"] = members.list.toJson();
        answer["members_confirmed"] = members.confirmed;
    }
    return answer;
}

Json ConfigService::handlePush(const mesh::PeerInfo &from, const Json &body)
{
    absl::StatusOr<Ticket> ticket = config::parseTicket(body.value("ticket", Json()));
    if (ticket.ok()) {
        std::uint64_t head = current()->number();
        if (head + 1 < ticket->number) {
            pullFrom(from.id).IgnoreError();
            head = current()->number();
        }
        if (head + 1 == ticket->number) {
            applyTickets({*std::move(ticket)});
        }
    }
    return {{"head", current()->number()}, {"incarnation", members_.self().incarnation}};
}

Json ConfigService::handleAttest()
{
    const std::lock_guard lock(mutex_);
    return attestationJson(freshness_.ownAttestation(monotonicNow()));
}

// Applying

void ConfigService::applyUpdate(const config::ConfigUpdate &update)
{
    bool adopted = false;
    if (update.state) {
        const std::lock_guard lock(mutex_);
        adopted = history_.adopt(*update.state, wallMs());
    }
    applyTickets(update.tickets);
    {
        const std::lock_guard lock(mutex_);
        const Instant now = monotonicNow();
        freshness_.applyHead(history_.head(), now);
        if (update.head > 0 || update.asOf != Instant()) {
            freshness_.confirm(update.head, update.asOf, now);
        }
    }
    if (adopted) {
        announce();
    }
}

void ConfigService::applyTickets(const std::vector<Ticket> &tickets)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        for (const Ticket &ticket : tickets) {
            const absl::StatusOr<bool> applied = history_.apply(ticket, wallMs());
            if (!applied.ok()) {
                telemetry::log(telemetry::Level::Error, "config", "ticket_not_applied",
                               telemetry::errorFields(applied.status()));
                break;
            }
            changed = changed || *applied;
        }
        freshness_.applyHead(history_.head(), monotonicNow());
    }
    if (changed) {
        announce();
    }
}

void ConfigService::announce()
{
    const std::lock_guard announcing(announceMutex_);
    const std::shared_ptr<const ConfigState> state = current();
    if (state->number() <= announced_) {
        return;
    }
    announced_ = state->number();
    telemetry::log(telemetry::Level::Info, "config", "in_force", {{"ticket", state->number()}});
    if (onState_) {
        onState_(state);
    }
}

bool ConfigService::readHead()
{
    // A reader of its own: the polling reader belongs to another thread.
    config::ConfigReader<platform::HttpObjectStore> reader(store_);
    const absl::StatusOr<config::ConfigUpdate> update = reader.load(*current());
    if (!update.ok()) {
        return false;
    }
    applyUpdate(*update);
    return true;
}

bool ConfigService::catchUp(const DaemonId &from, std::uint64_t head)
{
    if (current()->number() < head) {
        pullFrom(from).IgnoreError();
    }
    return current()->number() >= head;
}

void ConfigService::applyMembers(const MemberSnapshot &members)
{
    config::MemberView view;
    view.version = members.list.version();
    for (const membership::Member &member : members.list.members()) {
        view.members.push_back(member.id);
    }
    if (!members.confirmed) {
        view.previousMembers = members.list.voters();
    }
    const std::lock_guard lock(mutex_);
    freshness_.applyMembers(std::move(view), monotonicNow());
}

// Attestations and serving

void ConfigService::runAttester()
{
    while (waitFor(settings_.attestInterval)) {
        bool wanted = false;
        {
            const std::lock_guard lock(mutex_);
            wanted = freshness_.wantsAttestations(monotonicNow());
        }
        if (wanted) {
            attestOnce();
        }
    }
}

void ConfigService::attestOnce()
{
    const Instant sentAt = monotonicNow();
    std::optional<DaemonId> source;
    for (const MeshAnswer &answer :
         callAll(mesh_, members_.others(), "attest", Json::object(), settings_.attestTimeout)) {
        if (!answer.body.ok()) {
            continue;
        }
        const config::Attestation attestation = attestationFrom(*answer.body);
        const std::lock_guard lock(mutex_);
        freshness_.recordAnswer(answer.from, attestation, sentAt, monotonicNow());
        if (attestation.head > history_.head() || attestation.membersVersion > freshness_.membersVersion()) {
            source = answer.from;
        }
    }
    if (source) {
        pullFrom(*source).IgnoreError();
    }
}

void ConfigService::watchServing()
{
    constexpr absl::Duration Interval = absl::Milliseconds(100);
    while (waitFor(Interval)) {
        Serving now = Serving::Isolated;
        {
            const std::lock_guard lock(mutex_);
            now = freshness_.decide(monotonicNow());
        }
        if (now == lastServing_) {
            continue;
        }
        lastServing_ = now;
        telemetry::log(telemetry::Level::Warning, "config", "serving", {{"state", nameOf(now)}});
        if (onServing_) {
            onServing_(now);
        }
    }
}

std::shared_ptr<const ConfigState> ConfigService::current() const
{
    const std::lock_guard lock(mutex_);
    return history_.current();
}

Serving ConfigService::serving() const
{
    const std::lock_guard lock(mutex_);
    return freshness_.decide(monotonicNow());
}

absl::Duration ConfigService::age() const
{
    const std::lock_guard lock(mutex_);
    return freshness_.age(monotonicNow());
}

// Tickets

config::FilingResult ConfigService::file(const Ticket &ticket)
{
    TicketPusher pusher(mesh_, members_, settings_.pullTimeout, [this](const Ticket &stored) {
        applyTickets({stored});
        return current()->number() >= stored.number;
    });
    config::TicketFiler<platform::HttpObjectStore, TicketPusher> filer(store_, pusher, settings_.filer);
    return filer.file(ticket, *current(), wallMs());
}

config::Problems ConfigService::validate(const Ticket &ticket) const
{
    return current()->validate(ticket);
}

absl::StatusOr<std::shared_ptr<const ConfigState>> ConfigService::stateAt(std::uint64_t number)
{
    {
        const std::lock_guard lock(mutex_);
        auto kept = history_.stateAt(number);
        if (kept.status().code() != absl::StatusCode::kOutOfRange) {
            return kept;
        }
    }
    config::ConfigReader<platform::HttpObjectStore> reader(store_);
    absl::StatusOr<ConfigState> state = reader.stateAt(number);
    if (!state.ok()) {
        return state.status();
    }
    return std::make_shared<const ConfigState>(*std::move(state));
}

absl::StatusOr<std::uint64_t> ConfigService::numberAt(std::int64_t atMs) const
{
    const std::lock_guard lock(mutex_);
    return history_.numberAt(atMs);
}

absl::StatusOr<Ticket> ConfigService::ticket(std::uint64_t number)
{
    {
        const std::lock_guard lock(mutex_);
        if (const Ticket *kept = history_.find(number)) {
            return *kept;
        }
    }
    const auto stored = store_.get(config::ticketKey(number));
    if (!stored.ok()) {
        return stored.status();
    }
    return config::parseTicketText(stored->value);
}

std::vector<config::InForceRecord> ConfigService::inForceRecords() const
{
    const std::lock_guard lock(mutex_);
    return {history_.times().begin(), history_.times().end()};
}

} // namespace currantlug::services
