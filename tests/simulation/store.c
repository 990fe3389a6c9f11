/* Simulates the key-value store: keys, leases, transactions, lists and the changes for watches.
 * Also checks the rules on what may be stored during an upgrade (check_format,
 * check_announced_limits). */
#include "internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "protocol/json_text.h"
#include "store/records.h"

/* Time after the activation of the new record format in which writes in transit may exceed the
 * announced limits. */
#define ACTIVATION_TOLERANCE_S 1.5

uint64_t sim_count_of(const json_t *object, const char *name) {
    uint64_t count = 0;
    (void)rp_json_to_count(json_object_get(object, name), &count);
    return count;
}

static struct sim_key *key_find(struct sim *sim, const char *key) {
    for (int i = 0; i < sim->n_keys; i++)
        if (strcmp(sim->keys[i].key, key) == 0)
            return &sim->keys[i];
    return NULL;
}

static void log_change(struct sim *sim, const char *key, json_t *value) {
    json_t *change =
        value ? json_pack("{s:s,s:O,s:o}", "write", key, "v", value, "key_rev",
                          rp_json_from_count(sim->revision))
              : json_pack("{s:s,s:o}", "delete", key, "key_rev", rp_json_from_count(sim->revision));
    json_array_append_new(sim->change_log, change);
}

static void key_delete(struct sim *sim, struct sim_key *entry) {
    log_change(sim, entry->key, NULL);
    free(entry->key);
    json_decref(entry->value);
    *entry = sim->keys[--sim->n_keys];
}

static void key_put(struct sim *sim, const char *key, json_t *value, uint64_t lease) {
    struct sim_key *entry = key_find(sim, key);
    if (!entry) {
        if (sim->n_keys == SIM_KEYS)
            abort();
        entry = &sim->keys[sim->n_keys++];
        *entry = (struct sim_key){.key = strdup(key)};
    }
    json_decref(entry->value);
    entry->value = json_incref(value);
    entry->revision = sim->revision;
    entry->lease = lease;
    log_change(sim, key, value);
}

static void lease_expire(struct sim *sim, struct sim_lease *lease) {
    sim->revision++;
    for (int i = sim->n_keys; i-- > 0;)
        if (sim->keys[i].lease == lease->id)
            key_delete(sim, &sim->keys[i]);
    lease->id = 0;
}

static struct sim_lease *lease_find(struct sim *sim, uint64_t id) {
    for (int i = 0; id && i < SIM_LEASES; i++)
        if (sim->leases[i].id == id)
            return &sim->leases[i];
    return NULL;
}

static bool has_old_nodes(const struct sim *sim) {
    bool has_old = false;
    for (int i = 0; i < sim->n_nodes; i++)
        has_old |= sim->nodes[i].is_old_version || sim->nodes[i].restarts_as_old;
    return has_old;
}

static bool has_prefix(const char *key, const char *prefix) {
    return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Checks a write while a node of the previous version runs or will restart as one, or the new
 * record format is not active yet. activated_early: the activation is stored while such a node
 * exists. too_early: a record is stored that the previous version does not read, or a service,
 * which the previous version would run as an array. */
static void check_format(struct sim *sim, const char *key, const json_t *value) {
    bool is_format_key =
        has_prefix(key, RP_KEY_ANNOUNCEMENT) || strcmp(key, RP_KEY_ACTIVATION) == 0;
    bool is_unit = has_prefix(key, RP_KEY_PROGRESS) && strstr(key, "/u");
    const char *kind = json_string_value(json_object_get(json_object_get(value, "spec"), "haul"));
    if (strcmp(key, RP_KEY_ACTIVATION) == 0) {
        sim->format_active_at = sim->now;
        if (has_old_nodes(sim))
            sim_record_violation(sim, "activated_early");
    }
    if (!has_old_nodes(sim) && sim->format_active_at > 0)
        return;
    if (!is_format_key && (is_unit || has_prefix(key, RP_KEY_PART) || rp_record_format(value) > 1))
        sim_record_violation(sim, "too_early: %s", key);
    if (kind && strcmp(kind, "service") == 0)
        sim_record_violation(sim, "too_early: service %s", key);
}

/* too_large: more than ACTIVATION_TOLERANCE_S seconds after the activation, a transaction has more
 * changes, or a value more bytes, than the announced limits allow. */
static void check_announced_limits(struct sim *sim, size_t n_changes, size_t largest) {
    bool fits = (double)n_changes <= sim->announced_limits.txn_ops &&
                (double)largest <= sim->announced_limits.value_bytes;
    bool is_active =
        sim->format_active_at > 0 && sim->now > sim->format_active_at + ACTIVATION_TOLERANCE_S;
    if (is_active && !fits)
        sim_record_violation(sim, "too_large: changes=%zu bytes=%zu", n_changes, largest);
}

/* Takes one token per change from the token bucket of writes; false: the bucket holds too few. */
static bool take_write_tokens(struct sim *sim, size_t n_changes) {
    double rate = sim->limits.write_rps;
    sim->write_tokens = fmin(rate, sim->write_tokens + (sim->now - sim->write_tokens_at) * rate);
    sim->write_tokens_at = sim->now;
    if (sim->write_tokens < (double)n_changes)
        return false;
    sim->write_tokens -= (double)n_changes;
    return true;
}

/* Returns 200, or the status with which the transaction is refused: 400 for its size, 429 for the
 * rate of writes. */
static int check_limits(struct sim *sim, json_t *changes) {
    json_t *change;
    size_t i;
    size_t n_changes = json_array_size(changes);
    size_t largest = 0;
    json_array_foreach(changes, i, change) {
        const json_t *value = json_object_get(change, "v");
        size_t size = value ? rp_record_size(value) : 0;
        largest = size > largest ? size : largest;
    }
    check_announced_limits(sim, n_changes, largest);
    if ((double)n_changes > sim->limits.txn_ops || (double)largest > sim->limits.value_bytes) {
        sim->n_oversized_writes++;
        return 400;
    }
    if (!take_write_tokens(sim, n_changes)) {
        sim->n_rate_limited_writes++;
        return 429;
    }
    return 200;
}

/* Returns the keys whose revision is not the one that the transaction requires. */
static json_t *failed_conditions(struct sim *sim, const json_t *conditions) {
    json_t *failed = json_array();
    json_t *condition;
    size_t i;
    json_array_foreach(conditions, i, condition) {
        const char *path = json_string_value(json_object_get(condition, "path"));
        const struct sim_key *entry = key_find(sim, path);
        uint64_t required_revision = sim_count_of(condition, "key_rev");
        bool is_met = (entry ? entry->revision : 0) == required_revision;
        if (!is_met && sim->breakage != SIM_STORE_IGNORES_CONDITIONS)
            json_array_append_new(failed, json_string(path));
    }
    return failed;
}

static uint64_t lease_of(const json_t *change) {
    return sim_count_of(change, "lashing");
}

static bool has_unknown_lease(struct sim *sim, const json_t *changes) {
    json_t *change;
    size_t i;
    json_array_foreach(changes, i, change) {
        if (lease_of(change) && !lease_find(sim, lease_of(change)))
            return true;
    }
    return false;
}

static void apply_changes(struct sim *sim, const json_t *changes) {
    json_t *change;
    size_t i;
    if (json_array_size(changes))
        sim->revision++;
    json_array_foreach(changes, i, change) {
        const char *written = json_string_value(json_object_get(change, "write"));
        const char *deleted = json_string_value(json_object_get(change, "delete"));
        json_t *value = json_object_get(change, "v");
        if (written) {
            check_format(sim, written, value);
            key_put(sim, written, value, lease_of(change));
        } else if (key_find(sim, deleted)) {
            key_delete(sim, key_find(sim, deleted));
        }
    }
}

static int store_transaction(struct sim *sim, const json_t *body, json_t **out) {
    json_t *changes = json_object_get(body, "then");
    sim->n_comparisons += json_array_size(changes) == 0;
    int status = check_limits(sim, changes);
    if (status != 200) {
        *out = json_pack("{s:s}", "error", status == 400 ? "too large" : "too fast");
        return status;
    }
    if (has_unknown_lease(sim, changes)) {
        *out = json_pack("{s:s}", "error", "no such lease");
        return 400;
    }
    json_t *failed = failed_conditions(sim, json_object_get(body, "when"));
    if (json_array_size(failed)) {
        *out = json_pack("{s:o,s:o}", "failed", failed, "ledger_rev",
                         rp_json_from_count(sim->revision));
        return 409;
    }
    json_decref(failed);
    apply_changes(sim, changes);
    *out = json_pack("{s:o}", "ledger_rev", rp_json_from_count(sim->revision));
    return 200;
}

static struct sim_lease *grant_lease(struct sim *sim, const json_t *body) {
    struct sim_lease *lease = NULL;
    for (int i = 0; i < SIM_LEASES && !lease; i++)
        if (!sim->leases[i].id)
            lease = &sim->leases[i];
    if (!lease)
        abort();
    lease->id = ++sim->next_lease;
    lease->ttl_s = (double)json_integer_value(json_object_get(body, "ttl_ms")) / 1000;
    lease->expires_at = sim->now + lease->ttl_s;
    return lease;
}

/* `rest` is the part of the path after /leases. */
static int store_lease(struct sim *sim, const char *method, const char *rest, const json_t *body,
                       json_t **out) {
    if (!*rest) {
        const struct sim_lease *lease = grant_lease(sim, body);
        *out = json_pack("{s:o}", "lashing", rp_json_from_count(lease->id));
        return 200;
    }
    struct sim_lease *lease = lease_find(sim, strtoull(rest + 1, NULL, 10));
    if (!lease)
        return 404;
    if (strcmp(method, "DELETE") == 0)
        lease_expire(sim, lease);
    else
        lease->expires_at = sim->now + lease->ttl_s;
    return 200;
}

static int compare_keys(const void *a, const void *b) {
    const struct sim_key *first = *(struct sim_key *const *)a;
    const struct sim_key *second = *(struct sim_key *const *)b;
    return strcmp(first->key, second->key);
}

/* A node of this version that simulates the previous one reads none of the records that the
 * previous version does not read. */
static bool is_hidden_from(const struct sim *sim, int node, const char *key) {
    return sim->nodes[node].is_old_version && !sim->nodes[node].old_node &&
           (has_prefix(key, RP_KEY_ANNOUNCEMENT) || strcmp(key, RP_KEY_ACTIVATION) == 0 ||
            has_prefix(key, RP_KEY_PART));
}

static json_t *store_list(struct sim *sim, int node, const char *target) {
    struct sim_key *found[SIM_KEYS] = {NULL};
    char prefix[256];
    char from[256];
    char limit[32];
    int n = 0;
    json_t *rows = json_array();
    sim_query_parameter(target, "prefix=", prefix, sizeof prefix);
    bool is_continued = sim_query_parameter(target, "&from=", from, sizeof from) != NULL;
    size_t max_rows = sim_query_parameter(target, "limit=", limit, sizeof limit)
                          ? strtoul(limit, NULL, 10)
                          : 1000;
    if (sim->list_rows_max > 0 && sim->list_rows_max < max_rows)
        max_rows = sim->list_rows_max;
    for (int i = 0; i < sim->n_keys; i++)
        if (has_prefix(sim->keys[i].key, prefix) && !is_hidden_from(sim, node, sim->keys[i].key) &&
            (!is_continued || strcmp(sim->keys[i].key, from) > 0))
            found[n++] = &sim->keys[i];
    // NOLINTNEXTLINE(bugprone-sizeof-expression): pointers are sorted
    qsort(found, (size_t)n, sizeof found[0], compare_keys);
    for (int i = 0; i < n && (size_t)i < max_rows; i++)
        json_array_append_new(rows, json_pack("{s:s,s:O,s:o}", "path", found[i]->key, "v",
                                              found[i]->value, "key_rev",
                                              rp_json_from_count(found[i]->revision)));
    return json_pack("{s:o,s:b,s:o}", "rows", rows, "has_next", (size_t)n > max_rows, "ledger_rev",
                     rp_json_from_count(sim->revision));
}

/* The index of the first change after the revision; the changes are in the order of revisions. */
static size_t first_change_after(const struct sim *sim, uint64_t revision) {
    size_t first = json_array_size(sim->change_log);
    while (first > 0) {
        const json_t *change = json_array_get(sim->change_log, first - 1);
        if (sim_count_of(change, "key_rev") <= revision)
            break;
        first--;
    }
    return first;
}

/* The example in PROTOCOL lists the newest change first, and no sentence specifies an order: the
 * newest or the oldest change is first, or any. */
static void draw_order(const struct sim *sim, json_t *changes) {
    size_t n = json_array_size(changes);
    unsigned long order = gsl_rng_uniform_int(sim->watch_rng, 3);
    for (size_t i = 0; order > 0 && i + 1 < n; i++) {
        unsigned long n_left = (unsigned long)(n - i);
        size_t other = order == 1 ? n - 1 : i + gsl_rng_uniform_int(sim->watch_rng, n_left);
        json_t *change = json_incref(json_array_get(changes, other));
        json_array_remove(changes, other);
        json_array_insert_new(changes, i, change);
    }
}

json_t *sim_store_changes(struct sim *sim, const struct sim_event *event) {
    const char *target = event->target;
    char prefix[256];
    char from[32];
    json_t *changes = json_array();
    sim_query_parameter(target, "prefix=", prefix, sizeof prefix);
    sim_query_parameter(target, "from=", from, sizeof from);
    size_t first = first_change_after(sim, strtoull(from, NULL, 10));
    for (size_t i = first; i < json_array_size(sim->change_log); i++) {
        json_t *change = json_array_get(sim->change_log, i);
        const char *key = json_string_value(json_object_get(change, "write"));
        key = key ? key : json_string_value(json_object_get(change, "delete"));
        if (has_prefix(key, prefix))
            json_array_append(changes, change);
    }
    if (!sim->nodes[event->node].old_node)
        draw_order(sim, changes);
    return json_pack("{s:o,s:o}", "ledger_rev", rp_json_from_count(sim->revision), "log", changes);
}

bool sim_store_is_refusing(const struct sim *sim, int node) {
    return sim->now < sim->store_outage_until || sim->now < sim->nodes[node].store_refusal_until;
}

int sim_store_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out) {
    if (sim_store_is_refusing(sim, event->node))
        return 503;
    if (strcmp(event->target, "/txn") == 0)
        return store_transaction(sim, body, out);
    if (strncmp(event->target, "/leases", 7) == 0)
        return store_lease(sim, event->method, event->target + 7, body, out);
    if (strncmp(event->target, "/kv?", 4) == 0) {
        *out = store_list(sim, event->node, event->target);
        sim->n_state_lists++;
        sim->n_rows_read += json_array_size(json_object_get(*out, "rows"));
        return 200;
    }
    sim->n_state_reads++;
    struct sim_key *entry = key_find(sim, event->target + 4);
    if (entry && is_hidden_from(sim, event->node, entry->key))
        entry = NULL;
    if (!entry) {
        *out = json_pack("{s:o}", "ledger_rev", rp_json_from_count(sim->revision));
        return 404;
    }
    *out = json_pack("{s:s,s:O,s:o}", "path", entry->key, "v", entry->value, "key_rev",
                     rp_json_from_count(entry->revision));
    return 200;
}

void sim_lower_limits(struct sim *sim) {
    sim->limits = sim->announced_limits;
    sim->write_tokens = fmin(sim->write_tokens, sim->announced_limits.write_rps);
}

void sim_put_record(struct sim *sim, const char *key, const char *text) {
    json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);
    if (!value)
        abort();
    sim->revision++;
    key_put(sim, key, value, 0);
    json_decref(value);
}

const json_t *sim_find_record(struct sim *sim, const char *key) {
    struct sim_key *entry = key_find(sim, key);
    return entry ? entry->value : NULL;
}

bool sim_has_stored_result(struct sim *sim, const char *job, uint32_t task) {
    char key[RP_KEY_MAX];
    uint8_t bits[RP_CHUNK_BYTES] = {0};
    rp_key_progress(key, job, 0);
    struct sim_key *chunk = key_find(sim, key);
    rp_key_unit(key, job, 0);
    struct sim_key *unit = key_find(sim, key);
    if (chunk && !rp_record_progress_read(chunk->value, bits, (SIM_JOB_TASKS + 7) / 8))
        abort();
    if (unit && !rp_record_progress_read(unit->value, bits, (SIM_JOB_TASKS + 7) / 8))
        abort();
    return bits[task / 8] >> (task % 8) & 1;
}

size_t sim_count_stored(struct sim *sim, const char *prefix) {
    size_t n = 0;
    for (int i = 0; i < sim->n_keys; i++)
        n += has_prefix(sim->keys[i].key, prefix);
    return n;
}

void sim_store_step(struct sim *sim) {
    /* No lease expires during an outage; at its end, each lease has its full time-to-live again. */
    for (int i = 0; i < SIM_LEASES; i++) {
        struct sim_lease *lease = &sim->leases[i];
        if (lease->id && sim->now < sim->store_outage_until)
            lease->expires_at = sim->now + lease->ttl_s;
        if (lease->id && sim->now > lease->expires_at)
            lease_expire(sim, lease);
    }
}

void sim_store_free(struct sim *sim) {
    while (sim->n_keys > 0)
        key_delete(sim, &sim->keys[sim->n_keys - 1]);
    json_decref(sim->change_log);
}
