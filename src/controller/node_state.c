#include "controller/node_state.h"

const char *rp_node_state_name(enum rp_node_state state) {
    static const char *const names[] = {"following", "recovering", "leading"};
    return names[state];
}
