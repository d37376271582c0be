#ifndef EELGRASSBEND_BUNDLE_BUNDLE_FOLD_H
#define EELGRASSBEND_BUNDLE_BUNDLE_FOLD_H

#include "eelgrassbend/bundle/bundle_record.h"
#include "eelgrassbend/platform/log_client.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

enum class bundle_verdict {
    accepted,
    malformed,          ///< not a record of a bundle, or a broken one
    not_in_force,       ///< replaces a version that is not the one in force
    version_not_higher, ///< its version is not above the one in force
    too_few_signatures,
    repeated,    ///< its id was decided before
    checkpoint,  ///< says what was in force; changes nothing
    unsupported, ///< valid, but of a schema that this build cannot read
};

std::string_view to_string(bundle_verdict verdict);

/// What the fold made of one record.
struct bundle_decision {
    log_offset offset;
    record_id id;
    bundle_verdict verdict = bundle_verdict::malformed;
    bundle_version version;  ///< of the record; 0 if it could not be read
    bundle_version in_force; ///< after the record
    std::string reason;      ///< lower case, no full stop; empty if accepted
};

/// Decides which version is in force, from the records of the stream in order of offset. Pure:
/// the same records give the same decisions on every node, whatever checkpoint it started from.
class bundle_fold {
public:
    /// `trusted` signs the first bundle.
    explicit bundle_fold(operator_set trusted);

    /// The record must be the one at `next_offset()`.
    bundle_decision apply(const log_record& record);

    /// Starts again from a checkpoint, for a node that has missed records. An error if its
    /// signatures do not lead back to the trusted operators or if it would revert this node.
    /// `in_stream`: it is a record of the stream and not a peer's state.
    result<void> adopt(const bundle_checkpoint& checkpoint, bool in_stream = true);

    [[nodiscard]] bundle_checkpoint checkpoint() const;

    [[nodiscard]] log_offset next_offset() const { return this->state.next_offset; }

    /// Never null; version 0 and empty at first.
    [[nodiscard]] std::shared_ptr<const bundle> current() const { return this->bundle_in_force; }

    /// Record of the version in force; empty for version 0.
    [[nodiscard]] const record_id& accepted_record() const { return this->state.accepted; }

    /// Whether a version came into force that this build cannot read; nothing is decided after it.
    [[nodiscard]] bool unsupported() const { return this->halted; }

    /// The highest offset from which a checkpoint in the stream lets a new node start; 0, the
    /// start of the stream, if there is no checkpoint.
    [[nodiscard]] log_offset restart_offset() const { return this->restart; }

    /// The operators that must sign the next bundle.
    [[nodiscard]] const operator_set& signers() const { return this->operators_in_force; }

private:
    struct verified_checkpoint {
        bundle_version version;
        operator_set signers; ///< of the next version
    };

    bundle_decision decide(const log_record& record);
    bundle_decision decide_bundle(const log_record& record, const signed_bundle& sealed);
    void observe_checkpoint(const log_record& record, const bundle_checkpoint& seen);
    void accept(const log_record& record, const signed_bundle& sealed, bundle contents);
    void remember_early(const log_record& record, bundle_version replaces);
    void forget_early(bundle_version in_force);
    void remember(const record_id& id);
    [[nodiscard]] result<verified_checkpoint> verify(const bundle_checkpoint& checkpoint) const;

    operator_set trusted;
    operator_set operators_in_force;
    bundle_checkpoint state;
    std::shared_ptr<const bundle> bundle_in_force;
    log_offset restart;
    bool halted = false;
    std::set<record_id> decided;
    std::deque<record_id> decided_order;
};

} // namespace eelgrassbend

#endif
