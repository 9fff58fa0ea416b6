// In-memory fake of ObjectPort with the faults of the platform's store: rejected calls, responses lost after the call
// took effect, dropped history.
#ifndef CURRANTLUG_TESTS_FAKES_INMEMORYOBJECTSTORE_H
#define CURRANTLUG_TESTS_FAKES_INMEMORYOBJECTSTORE_H

#include "net/eventloop.h"
#include "objects/objectport.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace currantlug::tests {

class InMemoryObjectStore
{
public:
    using Port = objects::ObjectPort;
    using Reply = objects::StoreReply;
    using Outcome = objects::StoreOutcome;
    /// Decides the outcome of a call: Done executes it, Refused rejects it without effect, Unknown executes it and
    /// loses the response.
    using Fault = std::function<Outcome(const std::string &op, const std::string &kind, const std::string &name)>;

    explicit InMemoryObjectStore(net::Loop &loop)
        : loop_(loop)
    {
    }

    void setFault(Fault fault) { fault_ = std::move(fault); }
    /// While silent, the store accepts watch calls but never responds, and forgets the calls that are waiting. Such a
    /// call fails with an unknown outcome `watchGrace` after its wait has elapsed.
    void setSilent(bool silent, absl::Duration watchGrace)
    {
        silent_ = silent;
        watchGrace_ = watchGrace;
    }
    std::uint64_t revision() const { return revision_; }
    int calls(const std::string &op) const { return calls_.contains(op) ? calls_.at(op) : 0; }
    bool has(const std::string &kind, const std::string &name) const
    {
        const auto found = kinds_.find(kind);
        return found != kinds_.end() && found->second.contains(name);
    }
    Json value(const std::string &kind, const std::string &name) const { return kinds_.at(kind).at(name).value; }
    std::size_t count(const std::string &kind) const { return kinds_.contains(kind) ? kinds_.at(kind).size() : 0; }

    /// A write by another client.
    void put(const std::string &kind, const std::string &name, Json value)
    {
        objects::StoredObject &object = kinds_[kind][name];
        object = {name, ++revision_, std::move(value), {}};
        changes_[kind].push_back({object, false});
    }
    void erase(const std::string &kind, const std::string &name)
    {
        objects::StoredObject object = kinds_[kind][name];
        kinds_[kind].erase(name);
        object.revision = ++revision_;
        changes_[kind].push_back({object, true});
    }
    /// Drops the history: watch calls from an earlier revision fail with HistoryUnavailable.
    void compact()
    {
        changes_.clear();
        compactedAt_ = revision_;
    }

    Port port()
    {
        Port port;
        port.get = [this](const std::string &kind, const std::string &name, objects::StoreCallback done) {
            perform("get", kind, name, std::move(done), [this, kind, name] {
                return has(kind, name) ? reply(Outcome::Done, {{kinds_[kind][name], false}}) : reply(Outcome::NotFound);
            });
        };
        port.list = [this](const std::string &kind, const std::string &after, objects::StoreCallback done) {
            perform("list", kind, after, std::move(done), [this, kind, after] {
                Reply listed = reply(Outcome::Done);
                for (const auto &[name, object] : kinds_[kind]) {
                    if (name > after) {
                        listed.changes.push_back({object, false});
                    }
                }
                return listed;
            });
        };
        port.watch = [this](const std::string &kind, std::uint64_t after, absl::Duration wait,
                            objects::StoreCallback done) {
            watch(kind, after, net::loopNow() + wait, std::move(done));
        };
        port.create = [this](const std::string &kind, const std::string &name, const Json &value,
                             objects::StoreCallback done) {
            perform("create", kind, name, std::move(done), [this, kind, name, value] {
                if (has(kind, name)) {
                    return reply(Outcome::Conflict, {{kinds_[kind][name], false}});
                }
                put(kind, name, value);
                return reply(Outcome::Done, {{kinds_[kind][name], false}});
            });
        };
        port.replace = [this](const std::string &kind, const std::string &name, std::uint64_t revision,
                              const Json &value, objects::StoreCallback done) {
            perform("replace", kind, name, std::move(done), [this, kind, name, revision, value] {
                if (!has(kind, name)) {
                    return reply(Outcome::NotFound);
                }
                if (revision != 0 && kinds_[kind][name].revision != revision) {
                    return reply(Outcome::Conflict, {{kinds_[kind][name], false}});
                }
                put(kind, name, value);
                return reply(Outcome::Done, {{kinds_[kind][name], false}});
            });
        };
        port.replaceStatus = [this](const std::string &kind, const std::string &name, std::uint64_t, const Json &status,
                                    objects::StoreCallback done) {
            perform("status", kind, name, std::move(done), [this, kind, name, status] {
                kinds_[kind][name].status = status;
                return reply(Outcome::Done, {{kinds_[kind][name], false}});
            });
        };
        port.remove = [this](const std::string &kind, const std::string &name, std::uint64_t revision,
                             objects::StoreCallback done) {
            perform("remove", kind, name, std::move(done), [this, kind, name, revision] {
                if (!has(kind, name)) {
                    return reply(Outcome::NotFound);
                }
                if (revision != 0 && kinds_[kind][name].revision != revision) {
                    return reply(Outcome::Conflict, {{kinds_[kind][name], false}});
                }
                erase(kind, name);
                return reply(Outcome::Done);
            });
        };
        return port;
    }

private:
    Reply reply(Outcome outcome, std::vector<objects::ObjectChange> changes = {}) const
    {
        Reply reply;
        reply.outcome = outcome;
        reply.changes = std::move(changes);
        reply.asOf = revision_;
        return reply;
    }

    void perform(const std::string &op, const std::string &kind, const std::string &name, objects::StoreCallback done,
                 const std::function<Reply()> &effect)
    {
        ++calls_[op];
        const Outcome outcome = fault_ ? fault_(op, kind, name) : Outcome::Done;
        Reply result = outcome == Outcome::Refused ? reply(Outcome::Refused) : effect();
        if (outcome == Outcome::Unknown) {
            result = reply(Outcome::Unknown);
        }
        net::runAfter(loop_, absl::Milliseconds(1), [done = std::move(done), result] { done(result); });
    }

    void watch(const std::string &kind, std::uint64_t after, Instant until, objects::StoreCallback done)
    {
        ++calls_["watch"];
        poll(kind, after, until, std::move(done));
    }

    void poll(const std::string &kind, std::uint64_t after, Instant until, objects::StoreCallback done)
    {
        if (silent_) {
            net::runAfter(loop_, until + watchGrace_ - net::loopNow(),
                          [this, done = std::move(done)] { done(reply(Outcome::Unknown)); });
            return;
        }
        Reply result = reply(Outcome::Done);
        const Outcome outcome = fault_ ? fault_("watch", kind, "") : Outcome::Done;
        if (outcome != Outcome::Done) {
            result = reply(outcome);
        } else if (after < compactedAt_) {
            result = reply(Outcome::HistoryUnavailable);
        } else {
            for (const objects::ObjectChange &change : changes_[kind]) {
                if (change.object.revision > after) {
                    result.changes.push_back(change);
                }
            }
            if (result.changes.empty() && net::loopNow() < until) {
                net::runAfter(loop_, absl::Milliseconds(5),
                              [this, kind, after, until, done = std::move(done)] { poll(kind, after, until, done); });
                return;
            }
        }
        net::runAfter(loop_, absl::Milliseconds(1), [done = std::move(done), result] { done(result); });
    }

    net::Loop &loop_;
    Fault fault_;
    bool silent_ = false;
    absl::Duration watchGrace_;
    std::uint64_t revision_ = 0;
    std::uint64_t compactedAt_ = 0;
    std::map<std::string, std::map<std::string, objects::StoredObject>> kinds_;
    std::map<std::string, std::vector<objects::ObjectChange>> changes_;
    std::map<std::string, int> calls_;
};

} // namespace currantlug::tests

#endif
