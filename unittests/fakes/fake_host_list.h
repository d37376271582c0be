#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_HOST_LIST_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_HOST_LIST_H

#include "eelgrassbend/platform/host_list.h"

#include <utility>
#include <vector>

namespace eelgrassbend::fakes {

/// Answers with the entries that the test set, at once.
class fake_host_list : public host_list {
public:
    std::vector<host_entry> entries;
    bool down = false;

    void fetch(handler done) override
    {
        if (this->down) {
            done(make_error(errc::unavailable, "fetch host list"));
            return;
        }
        done(this->entries);
    }
};

} // namespace eelgrassbend::fakes

#endif
