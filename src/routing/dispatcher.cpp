#include "routing/dispatcherimpl.h"

#include <algorithm>

namespace currantlug::routing {

Dispatcher::Dispatcher(DispatcherSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::upsertEndpoint(const EndpointInfo &info)
{
    impl_->table_.upsert(info);
}

void Dispatcher::removeEndpoint(const EndpointId &endpoint)
{
    if (const auto row = impl_->table_.find(endpoint)) {
        impl_->prefixes_.forget(*row);
        impl_->table_.remove(endpoint);
    }
}

void Dispatcher::setWorkspace(const WorkspaceId &workspace, double weight, const LimitSettings &siteWide, Instant now)
{
    impl_->weights_[workspace] = weight;
    for (auto &[id, pool] : impl_->pools_) {
        pool.queue.setWeight(workspace, weight);
    }
    impl_->limits_.set(limitName(workspace), siteWide, now);
}

void Dispatcher::setKeyLimit(const KeyId &key, const LimitSettings &siteWide, Instant now)
{
    impl_->limits_.set(limitName(key), siteWide, now);
}

void Dispatcher::setEndpointLimit(const EndpointId &endpoint, const LimitSettings &siteWide, Instant now)
{
    impl_->endpointLimits_ = true;
    impl_->limits_.set(limitName(endpoint), siteWide, now);
}

void Dispatcher::setLiveDaemons(std::uint32_t count, Instant now)
{
    impl_->limits_.setLiveDaemons(count, now);
    impl_->chooser_.setLiveDaemons(count);
}

void Dispatcher::loadReport(const EndpointId &endpoint, const LoadReport &report, Instant now)
{
    impl_->table_.report(endpoint, report, now);
}

void Dispatcher::cacheEvent(const EndpointId &endpoint, const CacheEvent &event, Instant now)
{
    if (const auto row = impl_->table_.find(endpoint)) {
        impl_->prefixes_.event(*row, event, now);
    }
}

std::vector<WorkId> Dispatcher::endpointLeaving(const EndpointId &endpoint, Instant)
{
    impl_->table_.setLeaving(endpoint);
    std::vector<WorkId> running;
    for (const auto &[id, work] : impl_->works_) {
        if (impl_->findAttempt(id, endpoint) != nullptr) {
            running.push_back(id);
        }
    }
    std::sort(running.begin(), running.end());
    return running;
}

Admission Dispatcher::submit(WorkItem item, Instant now)
{
    return impl_->submit(std::move(item), now);
}

std::optional<Assignment> Dispatcher::next(Instant now)
{
    return impl_->next(now);
}

void Dispatcher::started(WorkId work, const EndpointId &endpoint, Instant now)
{
    if (detail::Attempt *attempt = impl_->findAttempt(work, endpoint)) {
        attempt->progress.started = true;
        attempt->progress.lastTokenAt = now;
    }
}

void Dispatcher::tokens(WorkId work, const EndpointId &endpoint, std::uint32_t count, Instant now)
{
    if (detail::Attempt *attempt = impl_->findAttempt(work, endpoint)) {
        impl_->countTokens(impl_->works_.at(work), *attempt, count, now);
    }
}

std::vector<EndpointId> Dispatcher::finished(WorkId work, const EndpointId &endpoint, Instant now)
{
    return impl_->finished(work, endpoint, now);
}

AfterFailure Dispatcher::failed(WorkId work, const EndpointId &endpoint, FailureCause cause, Instant now)
{
    return impl_->failed(work, endpoint, cause, now);
}

std::vector<EndpointId> Dispatcher::cancel(WorkId work, Instant now)
{
    return impl_->cancel(work, now);
}

std::vector<WorkId> Dispatcher::takeExpired(Instant now)
{
    return impl_->takeExpired(now);
}

void Dispatcher::setGroupRemaining(const WorkspaceId &workspace, std::uint64_t group, std::uint32_t remaining)
{
    impl_->setGroupRemaining(workspace, group, remaining);
}

const EndpointTable &Dispatcher::endpoints() const
{
    return impl_->table_;
}

const WorkItem *Dispatcher::find(WorkId work) const
{
    const auto found = impl_->works_.find(work);
    return found == impl_->works_.end() ? nullptr : &found->second.item;
}

std::size_t Dispatcher::queuedCount() const
{
    return impl_->queued_;
}

std::size_t Dispatcher::inFlightCount() const
{
    return impl_->runningAttempts_;
}

double Dispatcher::queuedTokens(const PoolId &pool) const
{
    const auto found = impl_->pools_.find(pool);
    return found == impl_->pools_.end() ? 0 : found->second.queue.cost();
}

} // namespace currantlug::routing
