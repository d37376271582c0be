#include "eelgrassbend/bundle/publisher.h"

#include <utility>

namespace eelgrassbend {

std::string_view to_string(publication_status status)
{
    switch (status) {
    case publication_status::accepted:
        return "accepted";
    case publication_status::rejected:
        return "rejected";
    case publication_status::not_appended:
        return "not_appended";
    case publication_status::unknown:
        return "unknown";
    }
    return "unknown";
}

publisher::publisher(publisher_options options, operator_set trusted, scheduler& timers,
                     log_client& log)
    : options(options),
      timers(timers),
      log(log),
      fold(std::move(trusted)),
      reader(timers, log, stream_name{bundle_stream}, this->fold)
{
    this->reader.observe(
        [this](const log_record& record, const bundle_decision& made) {
            // The first decision about an id counts; the fold ignores its repeats.
            if (record.id == this->id && !this->decision) {
                this->decision = made;
            }
        },
        [this] { this->started_from = this->fold.current()->version; });
}

void publisher::publish(const signed_bundle& contents, done_handler handler)
{
    this->sealed = contents;
    this->id = bundle_record_id(contents);
    this->done = std::move(handler);
    this->give_up_at = this->timers.now() + this->options.patience;
    const auto decoded = decode_bundle_header(contents.header.text);
    const auto opened = open_signed_bundle(contents);
    if (!decoded || !opened) {
        const auto& problem = decoded ? opened.error() : decoded.error();
        this->finish(publication_status::rejected, "the bundle is malformed: " + problem.detail);
        return;
    }
    this->header = decoded.value();
    this->synchronise();
}

void publisher::synchronise()
{
    this->reader.catch_up([this](const result<void>& outcome) {
        if (outcome) {
            this->judge();
            return;
        }
        if (outcome.error().code == errc::not_found || outcome.error().code == errc::stale) {
            this->finish(this->maybe_appended ? publication_status::unknown
                                              : publication_status::not_appended,
                         outcome.error().to_string());
            return;
        }
        this->retry(outcome.error().to_string());
    });
}

void publisher::judge()
{
    // A publication that was repeated after its record had expired is known by the state alone.
    const bool in_force = this->fold.accepted_record() == this->id;
    if (in_force || (this->decision && this->decision->verdict == bundle_verdict::accepted)) {
        this->finish(publication_status::accepted, {});
        return;
    }
    if (this->decision) {
        this->finish(publication_status::rejected, this->decision->reason);
        return;
    }
    if (this->started_from > this->header.version) {
        this->finish(publication_status::unknown,
                     "version " + std::to_string(this->started_from.value()) +
                         " is in force, and what came before it has expired; if this bundle was "
                         "published before, the nodes' logs tell its fate");
        return;
    }
    const auto reason = this->obstacle();
    if (!reason.empty()) {
        // An earlier append of this record may still be on its way, but it cannot win any more.
        this->finish(publication_status::rejected, reason);
        return;
    }
    if (this->surely_appended) {
        this->retry("the record was appended, but it cannot be read yet");
        return;
    }
    this->append();
}

std::string publisher::obstacle() const
{
    const auto in_force = this->fold.current()->version;
    if (this->header.replaces < in_force) {
        return "replaces version " + std::to_string(this->header.replaces.value()) +
               ", but version " + std::to_string(in_force.value()) +
               " is in force; somebody else was first";
    }
    if (this->header.replaces > in_force) {
        return "replaces version " + std::to_string(this->header.replaces.value()) +
               ", but version " + std::to_string(in_force.value()) + " is in force";
    }
    const auto& signers = this->fold.signers();
    const auto valid = count_signatures(this->sealed.header, signers);
    if (valid < signers.required_signatures) {
        return std::to_string(valid) + " valid signatures of operators, " +
               std::to_string(signers.required_signatures) + " required";
    }
    return {};
}

void publisher::append()
{
    if (this->timers.now() >= this->give_up_at) {
        this->retry("no time is left for another append");
        return;
    }
    this->log.append(stream_name{bundle_stream}, {{this->id, encode_record(this->sealed)}},
                     [this, watch = std::weak_ptr{this->alive}](const auto& outcome) {
                         if (!watch.expired()) {
                             this->take_append(outcome);
                         }
                     });
}

void publisher::take_append(const result<std::vector<log_offset>>& outcome)
{
    const bool surely_not = !outcome && (outcome.error().code == errc::unavailable ||
                                         outcome.error().code == errc::rate_limited);
    if (surely_not) {
        this->retry(outcome.error().to_string());
        return;
    }
    // An answer that was lost, and one that came, are settled alike: by reading.
    this->maybe_appended = true;
    if (outcome) {
        this->surely_appended = true;
        this->synchronise();
        return;
    }
    this->retry(outcome.error().to_string());
}

void publisher::retry(const std::string& problem)
{
    if (this->timers.now() >= this->give_up_at) {
        if (this->maybe_appended) {
            this->finish(publication_status::unknown,
                         problem + "; publish the same signed bundle again to learn its fate");
            return;
        }
        this->finish(publication_status::not_appended,
                     problem + "; this run appended nothing, publish again");
        return;
    }
    this->timers.call_after(this->options.retry_delay, [this, watch = std::weak_ptr{this->alive}] {
        if (!watch.expired()) {
            this->synchronise();
        }
    });
}

void publisher::finish(publication_status status, std::string reason)
{
    publication_result outcome;
    outcome.status = status;
    outcome.reason = std::move(reason);
    outcome.record = this->id;
    if (this->decision) {
        outcome.offset = this->decision->offset;
    }
    if (this->reader.based()) {
        outcome.in_force = this->fold.current()->version;
    }
    const auto handler = std::exchange(this->done, nullptr);
    handler(outcome);
}

} // namespace eelgrassbend
