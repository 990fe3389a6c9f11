#include "standby/stream_server.h"

#include "base/memory.h"
#include "base/string_copy.h"

/* The change that describes the current state of the machine. */
static struct rp_change change_of(const struct rp_machine *machine) {
    struct rp_change change = {.kind = RP_CHANGE_MACHINE_UP,
                               .incarnation = machine->contact.incarnation};
    if (rp_machine_is_releasing(machine))
        change.kind = RP_CHANGE_MACHINE_RELEASING;
    rp_string_copy(change.machine, sizeof change.machine, machine->name);
    rp_string_copy(change.addr, sizeof change.addr, machine->addr);
    return change;
}

static void on_machine_changed(void *arg, const struct rp_machine *machine, bool is_terminated) {
    struct rp_stream_server *server = arg;
    if (!server->settings->tuning.standby)
        return;
    struct rp_change change = change_of(machine);
    if (is_terminated)
        change.kind = RP_CHANGE_MACHINE_TERMINATED;
    rp_change_log_add(&server->log, &change);
}

void rp_stream_server_init(struct rp_stream_server *server, struct rp_cluster *cluster,
                           const struct rp_settings *settings) {
    *server = (struct rp_stream_server){.settings = settings, .cluster = cluster};
    cluster->on_machine_changed = on_machine_changed;
    cluster->on_machine_changed_arg = server;
}

void rp_stream_server_close(struct rp_stream_server *server) {
    server->cluster->on_machine_changed = NULL;
    rp_change_log_free(&server->log);
}

void rp_stream_server_begin_term(struct rp_stream_server *server, uint64_t term) {
    rp_change_log_begin(&server->log, term);
}

/* Whether the machine is in snapshots: a standby needs the machines that it can reach, and those
 * that are being released, which it must not count on. */
static bool is_in_snapshot(const struct rp_machine *machine) {
    bool is_reachable = *machine->addr && machine->contact.incarnation > 0;
    return is_reachable || rp_machine_is_releasing(machine);
}

/* Includes the terminated machines, first, because their stored records may not have been updated
 * yet. */
static void make_snapshot(const struct rp_stream_server *server, struct rp_stream_message *out) {
    const struct rp_cluster *cluster = server->cluster;
    size_t n_terminated = rp_change_log_n_terminated(&server->log);
    out->changes = rp_alloc(cluster->n_machines + n_terminated + 1, sizeof *out->changes);
    rp_change_log_copy_terminated(&server->log, out->changes);
    out->n_changes = n_terminated;
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (is_in_snapshot(machine))
            out->changes[out->n_changes++] = change_of(machine);
    out->term = server->log.term;
    out->index = server->log.index;
    out->is_snapshot = true;
}

void rp_stream_server_answer(struct rp_stream_server *server,
                             const struct rp_stream_request *request,
                             struct rp_stream_message *out) {
    bool is_same_term = request->term == server->log.term;
    if (is_same_term && rp_change_log_since(&server->log, request->index, out))
        return;
    make_snapshot(server, out);
    server->n_snapshots++;
}
