// Bounded hand-over of text.
#include "server/textchannel.h"

#include <chrono>
#include <utility>

namespace currantlug::server {

namespace {

constexpr std::size_t MaxBufferedBytes = 256 << 10;
constexpr std::chrono::seconds SlowReaderLimit{10};

} // namespace

bool TextChannel::write(std::string_view text)
{
    std::unique_lock lock(mutex_);
    const bool room =
        changed_.wait_for(lock, SlowReaderLimit, [this] { return abandoned_ || text_.size() < MaxBufferedBytes; });
    if (abandoned_ || !room) {
        return false;
    }
    text_ += text;
    changed_.notify_all();
    return true;
}

void TextChannel::finish(Result result)
{
    const std::lock_guard lock(mutex_);
    result_ = std::move(result);
    changed_.notify_all();
}

std::string TextChannel::read()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !text_.empty() || result_; });
    changed_.notify_all();
    return std::exchange(text_, {});
}

void TextChannel::waitForFirst()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !text_.empty() || result_; });
}

std::optional<TextChannel::Result> TextChannel::result() const
{
    const std::lock_guard lock(mutex_);
    return text_.empty() ? result_ : std::nullopt;
}

void TextChannel::abandon()
{
    const std::lock_guard lock(mutex_);
    abandoned_ = true;
    changed_.notify_all();
}

} // namespace currantlug::server
