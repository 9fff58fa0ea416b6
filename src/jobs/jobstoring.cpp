// Storing of results in segments, and handling of segments that another node stored first.
#include "jobs/jobrunner.h"

#include "core/hash.h"
#include "telemetry/log.h"

#include <utility>

namespace currantlug::jobs {

using telemetry::Level;

std::string resultKind(const std::string &jobId)
{
    return "results-" + jobId;
}

std::string JobRunner::segmentKind() const
{
    return resultKind(spec_.id);
}

void JobRunner::flushIfDue()
{
    if (pendingSegment_ || stopped_ || ownershipUncertain_) {
        return;
    }
    const Instant now = net::loopNow();
    bool due = fencePending_;
    for (const Item &item : tracker_.items()) {
        due = due
            || (item.state == ItemState::Finished
                && (now - item.finishedAt >= context_.settings.flushDelay
                    || tracker_.isGroupFinished(item.spec.group)));
    }
    if (!due) {
        return;
    }
    if (now - lastFlushAt_ >= context_.settings.minFlushInterval) {
        flush();
    }
}

void JobRunner::flush()
{
    lastFlushAt_ = net::loopNow();
    Segment segment;
    segment.number = log_.nextSegment();
    segment.nonce = randomHex(8);
    std::size_t bytes = 0;
    for (const Item &item : tracker_.items()) {
        if (item.state != ItemState::Finished) {
            continue;
        }
        ItemResult result;
        result.id = item.spec.id;
        result.state = item.text.empty() ? ResultState::Abandoned : ResultState::Completed;
        result.text = item.text.joinEvents();
        result.versions = item.text.versions;
        result.score = item.score;
        bytes += encodedSize(result);
        if (!segment.results.empty() && bytes > context_.settings.segmentBytes) {
            break;
        }
        segment.results.push_back(std::move(result));
    }
    pendingSegment_ = std::move(segment);
    const std::weak_ptr<JobRunner> weak = weak_from_this();
    context_.store.create(segmentKind(), segmentName(pendingSegment_->number), toJson(*pendingSegment_),
                          [weak](const objects::StoreReply &reply) {
                              if (const auto self = weak.lock()) {
                                  self->onFlushed(reply);
                              }
                          });
}

void JobRunner::onFlushed(const objects::StoreReply &reply)
{
    const std::weak_ptr<JobRunner> weak = weak_from_this();
    if (reply.outcome == objects::StoreOutcome::Done) {
        const Segment segment = *std::exchange(pendingSegment_, std::nullopt);
        fencePending_ = false;
        applySegment(segment);
        return;
    }
    if (reply.outcome == objects::StoreOutcome::Conflict) {
        context_.store.get(segmentKind(), segmentName(pendingSegment_->number),
                           [weak](const objects::StoreReply &read) {
                               if (const auto self = weak.lock()) {
                                   self->onExistingSegment(read);
                               }
                           });
        return;
    }
    // The retry writes the same bytes, so the segment has the same content whichever of the writes takes effect.
    net::runAfter(context_.loop, context_.settings.storeRetryDelay, [weak] {
        const auto self = weak.lock();
        if (self == nullptr || !self->pendingSegment_) {
            return;
        }
        self->context_.store.create(self->segmentKind(), segmentName(self->pendingSegment_->number),
                                    toJson(*self->pendingSegment_), [weak](const objects::StoreReply &again) {
                                        if (const auto runner = weak.lock()) {
                                            runner->onFlushed(again);
                                        }
                                    });
    });
}

void JobRunner::onExistingSegment(const objects::StoreReply &reply)
{
    if (reply.outcome != objects::StoreOutcome::Done || reply.changes.empty()) {
        onFlushed({});
        return;
    }
    const std::optional<Segment> segment = parseSegment(pendingSegment_->number, reply.changes.front().object.value);
    const bool isOwnSegment = segment && segment->nonce == pendingSegment_->nonce;
    pendingSegment_.reset();
    if (!segment) {
        telemetry::log(Level::Error, "job", "segment_unreadable", {{"job", spec_.id}, {"segment", log_.nextSegment()}});
        stop("result segment can't be read");
        return;
    }
    if (!isOwnSegment) {
        telemetry::log(Level::Warning, "job", "segment_of_another_node",
                       {{"job", spec_.id}, {"segment", segment->number}});
        ownershipUncertain_ = true;
    } else {
        fencePending_ = false;
    }
    applySegment(*segment);
    if (!isOwnSegment) {
        hooks_.foreignSegmentFound();
    }
}

void JobRunner::fence()
{
    fencePending_ = true;
    flushIfDue();
}

void JobRunner::confirmOwnership()
{
    ownershipUncertain_ = false;
    flushIfDue();
    if (std::exchange(sendingSuspended_, false)) {
        sendWaitingItems();
        sendRewardCalls();
    }
}

void JobRunner::applySegment(const Segment &segment)
{
    log_.append(segment);
    for (const ItemResult &result : segment.results) {
        const auto index = tracker_.find(result.id);
        if (!index) {
            continue;
        }
        if (tracker_.items()[*index].state == ItemState::Running) {
            requeue(*index, "result stored by another node", absl::ZeroDuration());
        }
        cancelRewardCall(tracker_.items()[*index]);
        tracker_.markStored(*index);
    }
    telemetry::log(Level::Info, "job", "results_stored",
                   {{"job", spec_.id},
                    {"segment", segment.number},
                    {"results", segment.results.size()},
                    {"listed", log_.size()},
                    {"total", tracker_.items().size()}});
    hooks_.resultsStored();
    flushIfDue();
}

} // namespace currantlug::jobs
