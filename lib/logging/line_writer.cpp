#include "eelgrassbend/logging/line_writer.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

namespace eelgrassbend {

/// Wait for pending lines at the end; a planned stop leaves a twentieth of 8 s for it.
static constexpr std::chrono::milliseconds final_wait{200};

/// Shared with the thread, which outlives the writer if its last write blocks.
struct line_writer::state {
    state(int descriptor, std::size_t max_pending_bytes)
        : descriptor(descriptor), max_pending_bytes(max_pending_bytes)
    {
    }

    void run();
    /// Returns the part of `bytes` that could not be written.
    std::string_view write_all(std::string_view bytes) const;

    const int descriptor;
    const std::size_t max_pending_bytes;
    std::mutex mutex;
    std::condition_variable changed;
    std::string pending;
    std::uint64_t dropped = 0;
    bool is_stopping = false;
    bool has_ended = false;
};

void line_writer::state::run()
{
    std::string writing;
    std::unique_lock lock{this->mutex};
    while (true) {
        this->changed.wait(lock, [this] { return this->is_stopping || !this->pending.empty(); });
        if (this->pending.empty()) {
            break;
        }
        writing.clear();
        std::swap(writing, this->pending);
        lock.unlock();
        const auto lost = this->write_all(writing);
        lock.lock();
        this->dropped += static_cast<std::uint64_t>(std::count(lost.begin(), lost.end(), '\n'));
    }
    this->has_ended = true;
    this->changed.notify_all();
}

std::string_view line_writer::state::write_all(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto written = ::write(this->descriptor, bytes.data(), bytes.size());
        if (written >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            continue;
        }
        // The descriptor may be shared with a process that made it non-blocking.
        pollfd writable{this->descriptor, POLLOUT, 0};
        const bool may_retry = errno == EAGAIN && ::poll(&writable, 1, -1) > 0;
        if (!may_retry && errno != EINTR) {
            break;
        }
    }
    return bytes;
}

// Signals are left to the other threads. With SIGPIPE blocked, a write to a pipe without a reader
// fails and does not end the process.
static void start_without_signals(std::shared_ptr<line_writer::state> shared)
{
    sigset_t all;
    sigset_t previous;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous);
    std::thread{[shared = std::move(shared)] { shared->run(); }}.detach();
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

line_writer::line_writer(int descriptor, std::size_t max_pending_bytes)
    : shared(std::make_shared<state>(descriptor, max_pending_bytes))
{
    start_without_signals(this->shared);
}

line_writer::~line_writer()
{
    std::unique_lock lock{this->shared->mutex};
    this->shared->is_stopping = true;
    this->shared->changed.notify_all();
    this->shared->changed.wait_for(lock, final_wait, [this] { return this->shared->has_ended; });
}

void line_writer::write(std::string_view line)
{
    const std::lock_guard lock{this->shared->mutex};
    if (this->shared->pending.size() + line.size() >= this->shared->max_pending_bytes) {
        ++this->shared->dropped;
        return;
    }
    this->shared->pending.append(line);
    this->shared->pending += '\n';
    this->shared->changed.notify_all();
}

std::uint64_t line_writer::dropped() const
{
    const std::lock_guard lock{this->shared->mutex};
    return this->shared->dropped;
}

} // namespace eelgrassbend
