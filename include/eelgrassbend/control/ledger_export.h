#ifndef EELGRASSBEND_CONTROL_LEDGER_EXPORT_H
#define EELGRASSBEND_CONTROL_LEDGER_EXPORT_H

#include "eelgrassbend/control/command.h"
#include "eelgrassbend/ledger/ledger_record.h"
#include "eelgrassbend/platform/log_client.h"

#include <string>

namespace eelgrassbend {

/// Reads the ledger stream to its end and gives one invoice line a request. Only confirmed
/// lines are in the stream.
class ledger_exporter {
public:
    /// An empty organisation exports all. `log` must outlive the exporter.
    ledger_exporter(log_client& log, std::string organisation);

    void run(command_handler done);

private:
    void read_next();
    void finish();

    log_client& log;
    std::string organisation;
    ledger_fold fold;
    log_offset first;
    log_offset next;
    command_handler done;
};

} // namespace eelgrassbend

#endif
