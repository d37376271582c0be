#ifndef EELGRASSBEND_SERVING_RUN_HISTORY_H
#define EELGRASSBEND_SERVING_RUN_HISTORY_H

namespace eelgrassbend {

/// Whether endpoints may have run a request, and whether it may therefore be sent as a new run.
///
/// All flows ask it before each new run, whatever ended the attempt before: an endpoint that was
/// not reached or refused the request says nothing about earlier attempts.
class run_history {
public:
    /// An endpoint may have begun to run the request.
    void record_possible_run() { this->has_possible_run = true; }

    [[nodiscard]] bool may_have_run() const { return this->has_possible_run; }

    /// Whether the request may be sent to an endpoint that does not continue an earlier run.
    /// `is_repeatable` tells whether the request may run more than once.
    [[nodiscard]] bool may_start_run(bool is_repeatable) const
    {
        return is_repeatable || !this->has_possible_run;
    }

private:
    bool has_possible_run = false;
};

} // namespace eelgrassbend

#endif
