#include "cluster/scale_out.h"

#include <stdio.h>
#include <string.h>
#include "base/string_copy.h"
#include "cluster/catalog_index.h"

/* Number of machines that the cloud allows in one request (PROTOCOL). */
#define MACHINES_PER_REQUEST_MAX 50
/* Size in bytes of a provision record without its machines' names. */
#define RECORD_HEAD_BYTES 320
/* Usual size in bytes of a machine's name in a provision record; a record whose names are longer is
 * split. */
#define RECORD_NAME_BYTES 16

/* Largest number of machines of one request: its record must have space for each name twice. */
static unsigned machines_per_request(const struct rp_provisioning *provisioning) {
    double n_fitting =
        ((double)provisioning->record_max_bytes - RECORD_HEAD_BYTES) / (2 * RECORD_NAME_BYTES);
    if (n_fitting < 1)
        return 1;
    return n_fitting < MACHINES_PER_REQUEST_MAX ? (unsigned)n_fitting : MACHINES_PER_REQUEST_MAX;
}

/* Adds a request for machines of a kind of the catalog, with the current time as request time. */
static struct rp_provision_request *add_request(struct rp_provisioning *provisioning,
                                                const char *name, int type, int zone, bool spot) {
    const struct rp_catalog *catalog = provisioning->context->catalog;
    struct rp_provision_request *request = rp_provision_request_add(&provisioning->requests, name);
    struct rp_provision_record *record = &request->record;
    rp_string_copy(record->type, sizeof record->type, catalog->types[type].name);
    rp_string_copy(record->zone, sizeof record->zone, catalog->zones[zone]);
    record->spot = spot;
    clock_gettime(CLOCK_REALTIME, &record->requested_at);
    return request;
}

void rp_scale_out(struct rp_provisioning *provisioning, int type, int zone, bool spot,
                  unsigned count) {
    unsigned count_max = machines_per_request(provisioning);
    char name[RP_TEXT_MAX];
    rp_provision_request_new_name(&provisioning->requests, "r",
                                  provisioning->context->election->fencing_token, name);
    struct rp_provision_request *request = add_request(provisioning, name, type, zone, spot);
    request->record.count = count < count_max ? count : count_max;
    rp_provision_request_set_state(provisioning->context, request, RP_PROVISION_RECORDING_INTENT);
    rp_provisioning_step(provisioning, request);
}

void rp_scale_out_adopt(struct rp_provisioning *provisioning, struct rp_machine *machine) {
    char name[RP_TEXT_MAX + 8];
    if (machine->provision_request || machine->type < 0 || machine->zone < 0)
        return;
    snprintf(name, sizeof name, "a-%s", machine->name);
    if (strlen(name) >= RP_TEXT_MAX || rp_provision_request_find(&provisioning->requests, name))
        return;
    struct rp_provision_request *request =
        add_request(provisioning, name, machine->type, machine->zone, machine->spot);
    request->record.count = 1;
    request->record.answered = true;
    machine->provision_request = request;
    rp_provision_request_set_state(provisioning->context, request, RP_PROVISION_RECORDING_NAMES);
    rp_provisioning_step(provisioning, request);
}

static bool is_awaiting_names(const struct rp_provision_request *request) {
    return request->state == RP_PROVISION_RECORDING_INTENT ||
           request->state == RP_PROVISION_REQUESTING;
}

unsigned rp_scale_out_n_requested(const struct rp_provisioning *provisioning, int type, int zone,
                                  bool spot) {
    const struct rp_catalog *catalog = provisioning->context->catalog;
    unsigned n = 0;
    for (const struct rp_provision_request *request = provisioning->requests.first; request;
         request = request->next) {
        const struct rp_provision_record *record = &request->record;
        if (is_awaiting_names(request) && record->spot == spot &&
            rp_catalog_type_index(catalog, record->type) == type &&
            rp_catalog_zone_index(catalog, record->zone) == zone)
            n += record->count;
    }
    return n;
}
