#include "sim_parts.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "config/platform_file.h"
#include "protocol/cloud_codec.h"
#include "protocol/job_codec.h"
#include "protocol/worker_codec.h"

#define GANG_WAIT_S 40.0
#define GANG_PEER_S 5.0

double sim_uniform(struct sim *sim) {
    return gsl_rng_uniform(sim->rng);
}

bool sim_chance(struct sim *sim, double p) {
    return p > 0 && sim_uniform(sim) < p;
}

void sim_violated(struct sim *sim, const char *fmt, ...) {
    va_list ap;
    if (sim->violation[0])
        return;
    va_start(ap, fmt);
    int n = snprintf(sim->violation, sizeof sim->violation, "%.2f: ", sim->now);
    vsnprintf(sim->violation + n, sizeof sim->violation - (size_t)n, fmt, ap);
    va_end(ap);
}

struct sim_event *sim_event_new(struct sim *sim, enum event_kind kind, double after) {
    struct sim_event *event = calloc(1, sizeof *event);
    if (!event || sim->n_events == SIM_EVENTS)
        abort();
    event->kind = kind;
    event->due_at = sim->now + after;
    sim->events[sim->n_events++] = event;
    return event;
}

static void sim_event_free(struct sim_event *event) {
    free(event->target);
    free(event->body);
    free(event);
}

static double sim_network_delay(struct sim *sim) {
    return 0.0005 + 0.004 * sim_uniform(sim) + (sim_chance(sim, 0.01) ? 0.3 * sim_uniform(sim) : 0);
}

const struct sim_engine *sim_old_engine;
bool sim_standby;
void (*sim_observer)(const struct sim_message *message);

static void sim_observe(const struct sim *sim, struct sim_message message) {
    message.time = sim->now;
    if (sim_observer)
        sim_observer(&message);
}

/* ---- state service ---- */

static struct sim_key *sim_key_find(struct sim *sim, const char *key) {
    for (int i = 0; i < sim->n_keys; i++)
        if (strcmp(sim->keys[i].key, key) == 0)
            return &sim->keys[i];
    return NULL;
}

static void log_change(struct sim *sim, const char *key, json_t *value) {
    json_t *e = value ? json_pack("{s:s,s:O,s:I}", "write", key, "v", value, "key_rev",
                                  (json_int_t)sim->revision)
                      : json_pack("{s:s,s:I}", "delete", key, "key_rev", (json_int_t)sim->revision);
    json_array_append_new(sim->change_log, e);
}

static void sim_key_delete(struct sim *sim, struct sim_key *entry) {
    log_change(sim, entry->key, NULL);
    free(entry->key);
    json_decref(entry->value);
    *entry = sim->keys[--sim->n_keys];
}

static void sim_key_put(struct sim *sim, const char *key, json_t *value, uint64_t lease) {
    struct sim_key *entry = sim_key_find(sim, key);
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

static void sim_lease_expire(struct sim *sim, struct sim_lease *lease) {
    sim->revision++;
    for (int i = sim->n_keys; i-- > 0;)
        if (sim->keys[i].lease == lease->id)
            sim_key_delete(sim, &sim->keys[i]);
    lease->id = 0;
}

static struct sim_lease *lease_find(struct sim *sim, uint64_t id) {
    for (int i = 0; id && i < SIM_LEASES; i++)
        if (sim->leases[i].id == id)
            return &sim->leases[i];
    return NULL;
}

static bool has_old_nodes(const struct sim *sim) {
    bool old = false;
    for (int i = 0; i < sim->n_nodes; i++)
        old |= sim->nodes[i].is_old_version || sim->nodes[i].restarts_as_old;
    return old;
}

static bool sim_has_prefix(const char *key, const char *prefix) {
    return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Nothing that the version before doesn't read may be stored while any of its nodes is left, and
 * the activation neither; nor a service, which it would run as an array. */
static void check_format(struct sim *sim, const char *key, const json_t *value) {
    bool said = sim_has_prefix(key, RP_KEY_VERSION) || strcmp(key, RP_KEY_FORMAT) == 0;
    bool unit = sim_has_prefix(key, RP_KEY_PROGRESS) && strstr(key, "/u");
    const char *kind = json_string_value(json_object_get(json_object_get(value, "spec"), "haul"));
    if (strcmp(key, RP_KEY_FORMAT) == 0) {
        sim->format_active_at = sim->now;
        if (has_old_nodes(sim))
            sim_violated(sim, "activated_early");
    }
    if (!has_old_nodes(sim) && sim->format_active_at > 0)
        return;
    if (!said && (unit || sim_has_prefix(key, RP_KEY_PART) || rp_record_format(value) > 1))
        sim_violated(sim, "too_early: %s", key);
    if (kind && strcmp(kind, "service") == 0)
        sim_violated(sim, "too_early: service %s", key);
}

/* From a moment after the activation on, everything fits what is to come. */
static int check_limits(struct sim *sim, json_t *ops) {
    json_t *v;
    size_t i, n = json_array_size(ops), largest = 0;
    json_array_foreach(ops, i, v) {
        const json_t *value = json_object_get(v, "v");
        size_t size = value ? rp_record_size(value) : 0;
        largest = size > largest ? size : largest;
    }
    bool fits = (double)n <= sim->announced_limits.txn_ops &&
                (double)largest <= sim->announced_limits.value_bytes;
    if (sim->format_active_at > 0 && sim->now > sim->format_active_at + 1.5 && !fits)
        sim_violated(sim, "too_large: changes=%zu bytes=%zu", n, largest);
    if ((double)n > sim->limits.txn_ops || (double)largest > sim->limits.value_bytes) {
        sim->n_oversized_writes++;
        return 400;
    }
    double rate = sim->limits.write_rps;
    sim->write_tokens = fmin(rate, sim->write_tokens + (sim->now - sim->write_tokens_at) * rate);
    sim->write_tokens_at = sim->now;
    if (sim->write_tokens < (double)n) {
        sim->n_rate_limited_writes++;
        return 429;
    }
    sim->write_tokens -= (double)n;
    return 200;
}

static int store_transaction(struct sim *sim, json_t *body, json_t **out) {
    json_t *failed = json_array(), *value;
    size_t i;
    sim->n_comparisons += json_array_size(json_object_get(body, "then")) == 0;
    int status = check_limits(sim, json_object_get(body, "then"));
    if (status != 200) {
        json_decref(failed);
        *out = json_pack("{s:s}", "error", status == 400 ? "too large" : "too fast");
        return status;
    }
    json_array_foreach(json_object_get(body, "when"), i, value) {
        const char *path = json_string_value(json_object_get(value, "path"));
        struct sim_key *entry = sim_key_find(sim, path);
        uint64_t want = (uint64_t)json_integer_value(json_object_get(value, "key_rev"));
        if ((entry ? entry->revision : 0) != want && sim->breakage != SIM_STORE_IGNORES_CONDITIONS)
            json_array_append_new(failed, json_string(path));
    }
    json_array_foreach(json_object_get(body, "then"), i, value) {
        uint64_t lease = (uint64_t)json_integer_value(json_object_get(value, "lashing"));
        if (lease && !lease_find(sim, lease)) {
            json_decref(failed);
            *out = json_pack("{s:s}", "error", "no such lease");
            return 400;
        }
    }
    if (json_array_size(failed)) {
        *out = json_pack("{s:o,s:I}", "failed", failed, "ledger_rev", (json_int_t)sim->revision);
        return 409;
    }
    json_decref(failed);
    if (json_array_size(json_object_get(body, "then")))
        sim->revision++;
    json_array_foreach(json_object_get(body, "then"), i, value) {
        const char *put = json_string_value(json_object_get(value, "write"));
        const char *gone = json_string_value(json_object_get(value, "delete"));
        if (put)
            check_format(sim, put, json_object_get(value, "v"));
        if (put)
            sim_key_put(sim, put, json_object_get(value, "v"),
                        (uint64_t)json_integer_value(json_object_get(value, "lashing")));
        else if (sim_key_find(sim, gone))
            sim_key_delete(sim, sim_key_find(sim, gone));
    }
    *out = json_pack("{s:I}", "ledger_rev", (json_int_t)sim->revision);
    return 200;
}

static int store_lease(struct sim *sim, const char *method, const char *rest, json_t *body,
                       json_t **out) {
    if (!*rest) {
        struct sim_lease *lease = NULL;
        for (int i = 0; i < SIM_LEASES && !lease; i++)
            if (!sim->leases[i].id)
                lease = &sim->leases[i];
        if (!lease)
            abort();
        lease->id = ++sim->next_lease;
        lease->ttl_s = (double)json_integer_value(json_object_get(body, "ttl_ms")) / 1000;
        lease->expires_at = sim->now + lease->ttl_s;
        *out = json_pack("{s:I}", "lashing", (json_int_t)lease->id);
        return 200;
    }
    struct sim_lease *lease = lease_find(sim, strtoull(rest + 1, NULL, 10));
    if (!lease)
        return 404;
    if (strcmp(method, "DELETE") == 0)
        sim_lease_expire(sim, lease);
    else
        lease->expires_at = sim->now + lease->ttl_s;
    return 200;
}

static int by_key(const void *a, const void *b) {
    const struct sim_key *x = *(struct sim_key *const *)a, *y = *(struct sim_key *const *)b;
    return strcmp(x->key, y->key);
}

static const char *sim_query_parameter(const char *target, const char *name, char *out,
                                       size_t size) {
    const char *at = strstr(target, name);
    size_t n = 0;
    if (at)
        for (at += strlen(name); at[n] && at[n] != '&' && n + 1 < size; n++)
            out[n] = at[n];
    out[n] = '\0';
    return at ? out : NULL;
}

/* A node that stands for the version before sees nothing that it wouldn't ask for. */
static bool is_hidden_from(const struct sim *sim, int node, const char *key) {
    return sim->nodes[node].is_old_version && !sim->nodes[node].old_node &&
           (sim_has_prefix(key, RP_KEY_VERSION) || strcmp(key, RP_KEY_FORMAT) == 0 ||
            sim_has_prefix(key, RP_KEY_PART));
}

static json_t *store_list(struct sim *sim, int node, const char *target) {
    struct sim_key *found[SIM_KEYS] = {NULL};
    char prefix[256], from[256], limit[32];
    int n = 0;
    json_t *rows = json_array();
    sim_query_parameter(target, "prefix=", prefix, sizeof prefix);
    bool after = sim_query_parameter(target, "&from=", from, sizeof from) != NULL;
    size_t most = sim_query_parameter(target, "limit=", limit, sizeof limit)
                      ? strtoul(limit, NULL, 10)
                      : 1000;
    for (int i = 0; i < sim->n_keys; i++)
        if (sim_has_prefix(sim->keys[i].key, prefix) &&
            !is_hidden_from(sim, node, sim->keys[i].key) &&
            (!after || strcmp(sim->keys[i].key, from) > 0))
            found[n++] = &sim->keys[i];
    // NOLINTNEXTLINE(bugprone-sizeof-expression): pointers are sorted
    qsort(found, (size_t)n, sizeof found[0], by_key);
    for (int i = 0; i < n && (size_t)i < most; i++)
        json_array_append_new(rows, json_pack("{s:s,s:O,s:I}", "path", found[i]->key, "v",
                                              found[i]->value, "key_rev",
                                              (json_int_t)found[i]->revision));
    return json_pack("{s:o,s:b,s:I}", "rows", rows, "has_next", (size_t)n > most, "ledger_rev",
                     (json_int_t)sim->revision);
}

static json_t *store_changes(struct sim *sim, const char *target) {
    char prefix[256], from[32];
    json_t *log = json_array(), *e;
    size_t i;
    sim_query_parameter(target, "prefix=", prefix, sizeof prefix);
    sim_query_parameter(target, "from=", from, sizeof from);
    json_int_t since = (json_int_t)strtoll(from, NULL, 10);
    /* The changes come in the order of their revisions. */
    size_t first = json_array_size(sim->change_log);
    while (first > 0 && json_integer_value(json_object_get(
                            json_array_get(sim->change_log, first - 1), "key_rev")) > since)
        first--;
    for (i = first; i < json_array_size(sim->change_log); i++) {
        e = json_array_get(sim->change_log, i);
        const char *key = json_string_value(json_object_get(e, "write"));
        key = key ? key : json_string_value(json_object_get(e, "delete"));
        if (strncmp(key, prefix, strlen(prefix)) == 0)
            json_array_append(log, e);
    }
    return json_pack("{s:I,s:o}", "ledger_rev", (json_int_t)sim->revision, "log", log);
}

static int sim_store_request(struct sim *sim, const struct sim_event *event, json_t *body,
                             json_t **out) {
    if (sim->now < sim->store_outage_until ||
        sim->now < sim->nodes[event->node].store_refusal_until)
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
    struct sim_key *entry = sim_key_find(sim, event->target + 4);
    if (entry && is_hidden_from(sim, event->node, entry->key))
        entry = NULL;
    if (!entry) {
        *out = json_pack("{s:I}", "ledger_rev", (json_int_t)sim->revision);
        return 404;
    }
    *out = json_pack("{s:s,s:O,s:I}", "path", entry->key, "v", entry->value, "key_rev",
                     (json_int_t)entry->revision);
    return 200;
}

/* ---- cloud ---- */

const struct sim_machine_type sim_types[2] = {{"small", 8, 0, 32, 0.36, 0.11, 8},
                                              {"wide", 32, 0, 128, 1.5, 0.45, 12}};
const char *const sim_zones[2] = {"a", "b"};

static json_t *cloud_catalog(void) {
    json_t *list = json_array();
    for (int i = 0; i < 2; i++)
        json_array_append_new(list,
                              json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s,s]}", "name",
                                        sim_types[i].name, "vcpus", sim_types[i].cpus, "cards",
                                        sim_types[i].gpus, "memory_gb", sim_types[i].memory,
                                        "cache_gb", 50.0, "fetch_gb_per_s", 1.0, "price",
                                        sim_types[i].price, "market_price", sim_types[i].spot_price,
                                        "boot_s", sim_types[i].boot, "yards", "a", "b"));
    return json_pack("{s:o}", "frames", list);
}

static int cloud_provision(struct sim *sim, json_t *body, json_t **out) {
    const char *request = json_string_value(json_object_get(body, "hire"));
    json_t *known = json_object_get(sim->provisioned, request);
    if (known) {
        *out = json_incref(known);
        return 200;
    }
    int type = strcmp(json_string_value(json_object_get(body, "frame")), "small") ? 1 : 0;
    int zone = strcmp(json_string_value(json_object_get(body, "yard")), "a") ? 1 : 0;
    bool spot = json_is_true(json_object_get(body, "loaners"));
    int left = sim->size.capacity, count = (int)json_integer_value(json_object_get(body, "count"));
    for (int i = 0; i < sim->size.workers; i++)
        left -= sim->workers[i].used && sim->workers[i].alive && sim->workers[i].type == type &&
                sim->workers[i].zone == zone && sim->workers[i].spot == spot;
    json_t *names = json_array();
    for (int i = 0; i < sim->size.workers && count > 0 && left > 0; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (worker->used)
            continue;
        *worker = (struct sim_worker){.used = true, .alive = true, .type = type, .zone = zone};
        worker->spot = spot;
        worker->provisioned_at = sim->now;
        worker->boots_at = sim->now + (sim_chance(sim, sim->faults.fast_boot)
                                           ? 0.1 + 1.9 * sim_uniform(sim)
                                           : sim_types[type].boot * (0.3 + 1.2 * sim_uniform(sim)));
        if (sim_chance(sim, sim->faults.boot_failure))
            worker->boots_at = 1e9;
        snprintf(worker->name, sizeof worker->name, "vm-%06d", sim->next_machine++);
        json_array_append_new(names, json_string(worker->name));
        count--;
        left--;
    }
    if (json_array_size(names) == 0) {
        json_decref(names);
        *out = json_pack("{s:s}", "error", "no capacity");
        return 503;
    }
    *out = json_pack("{s:o}", "sheaves", names);
    json_object_set(sim->provisioned, request, *out);
    return 200;
}

static int by_name(const void *a, const void *b) {
    return strcmp((*(const struct sim_worker *const *)a)->name,
                  (*(const struct sim_worker *const *)b)->name);
}

static const char *sim_worker_address(const struct sim *sim, const struct sim_worker *worker) {
    return sim->remote ? sim->remote->worker_addr(sim->remote->ctx, (int)(worker - sim->workers))
                       : worker->name;
}

static json_t *cloud_list(const struct sim *sim, const char *target) {
    const struct sim_worker *sorted[SIM_WORKERS] = {NULL};
    char from[RP_TEXT_MAX];
    size_t n = 0, most = 500;
    json_t *list = json_array();
    bool after = sim_query_parameter(target, "from=", from, sizeof from) != NULL;
    for (int i = 0; i < sim->size.workers; i++)
        if (sim->workers[i].used && sim->workers[i].provisioned_at < sim->now - 3 &&
            (!after || strcmp(sim->workers[i].name, from) > 0))
            sorted[n++] = &sim->workers[i];
    // NOLINTNEXTLINE(bugprone-sizeof-expression): pointers are sorted
    qsort(sorted, n, sizeof sorted[0], by_name);
    for (size_t i = 0; i < n && i < most; i++) {
        const struct sim_worker *worker = sorted[i];
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "ref", worker->name, "address",
                            sim_worker_address(sim, worker), "frame", sim_types[worker->type].name,
                            "yard", sim_zones[worker->zone], "loaners", worker->spot, "tension",
                            !worker->alive ? "failed"
                            : worker->up   ? "running"
                                           : "booting",
                            "age_s", sim->now - worker->provisioned_at));
    }
    return json_pack("{s:o,s:b}", "sheaves", list, "has_next", n > most);
}

static int sim_cloud_request(struct sim *sim, const struct sim_event *event, json_t *body,
                             json_t **out) {
    json_t *name;
    size_t i;
    if (sim->now < sim->cloud_outage_until) {
        *out = json_pack("{s:s}", "error", "trouble");
        return 503;
    }
    if (strcmp(event->target, RP_PATH_CATALOG) == 0) {
        *out = cloud_catalog();
        return 200;
    }
    if (strcmp(event->target, RP_PATH_RELEASE) == 0) {
        json_array_foreach(json_object_get(body, "sheaves"), i, name) {
            for (int w = 0; w < sim->size.workers; w++)
                if (sim->workers[w].used &&
                    strcmp(sim->workers[w].name, json_string_value(name)) == 0)
                    sim->workers[w].used = sim->workers[w].alive = false;
        }
        return 200;
    }
    if (strcmp(event->method, "POST") == 0)
        return cloud_provision(sim, body, out);
    *out = cloud_list(sim, event->target);
    return 200;
}

/* ---- workers ---- */

static int find_job(const struct sim *sim, const char *id) {
    for (int i = 0; i < sim->n_jobs; i++)
        if (strcmp(sim->jobs[i].spec.id, id) == 0)
            return i;
    return -1;
}

bool sim_task_is_placed(const struct sim_task *task) {
    return task->state == RP_TASK_WAITING || task->state == RP_TASK_RUNNING ||
           task->state == RP_TASK_SAVING;
}

static void exit_task(struct sim_worker *worker, struct sim_task *task, const char *why,
                      double now) {
    task->state = RP_TASK_EXITED;
    task->exit_reason = why;
    worker->changed = true;
    worker->exited_at = now;
}

static void worker_start(struct sim *sim, struct sim_worker *worker, const char *job,
                         uint32_t index, uint64_t attempt) {
    struct sim_task *task = NULL;
    double cpus = 0, memory = 0;
    int j = find_job(sim, job);
    bool busy = false;
    for (int i = 0; i < worker->n_tasks; i++) {
        task = &worker->tasks[i];
        if (strcmp(task->job, job) == 0 && task->index == index) {
            if (task->attempt == attempt)
                return;
            busy |= task->state != RP_TASK_EXITED;
        }
        if (task->state != RP_TASK_EXITED) {
            cpus += sim->jobs[task->job_index].spec.each.cpus;
            memory += sim->jobs[task->job_index].spec.each.memory_gb;
        }
    }
    if (worker->n_tasks == SIM_TASKS || j < 0)
        return;
    if (worker->exited_at > 0) {
        sim->idle_s += sim->now - worker->exited_at;
        sim->n_idle++;
        worker->exited_at = 0;
    }
    sim_check_command(sim, &sim->jobs[j]);
    if (attempt >> 32 > sim->started_token) {
        sim->started_token = attempt >> 32;
        sim->started_at = sim->now;
    }
    task = &worker->tasks[worker->n_tasks++];
    *task = (struct sim_task){.index = index, .attempt = attempt, .job_index = j};
    strcpy(task->job, job);
    worker->changed = true;
    if (busy)
        exit_task(worker, task, "in_use", sim->now);
    else if (cpus + sim->jobs[j].spec.each.cpus > sim_types[worker->type].cpus + 1e-6 ||
             memory + sim->jobs[j].spec.each.memory_gb > sim_types[worker->type].memory + 1e-6)
        exit_task(worker, task, "no_room", sim->now);
    else
        task->ready_at = sim->now + 0.5 + sim_uniform(sim);
    if (sim->breakage == SIM_REPLICAS_NEVER_START && sim->jobs[j].spec.kind == RP_JOB_SERVICE)
        task->ready_at = 1e9;
    if (sim->breakage == SIM_LARGE_NEVER_BEGIN && sim->jobs[j].spec.n_tasks >= SIM_LARGE)
        task->ready_at = 1e9;
}

static void worker_stop(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
                        double grace) {
    const struct rp_job_spec *spec = &sim->jobs[task->job_index].spec;
    if (sim->breakage == SIM_WORKERS_IGNORE_STOPS || sim->breakage == SIM_RENEWED_WITHOUT_STOPS ||
        task->state == RP_TASK_EXITED)
        return;
    if (task->state == RP_TASK_RUNNING && spec->checkpoint_s > 0 && grace >= spec->save_s) {
        task->state = RP_TASK_SAVING;
        task->stopped_at = sim->now;
        task->ready_at = sim->now + spec->save_s;
        worker->changed = true;
    } else if (task->state != RP_TASK_SAVING || grace == 0) {
        exit_task(worker, task, "halted", sim->now);
    }
}

static void worker_command(struct sim *sim, struct sim_worker *worker, json_t *c) {
    const char *op = json_string_value(json_object_get(c, "signal"));
    const char *name = json_string_value(json_object_get(c, "lift"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(c, "pull"));
    char job[RP_ID_MAX] = "";
    const char *slash = strchr(name, '/');
    memcpy(job, name, (size_t)(slash - name));
    uint32_t index = (uint32_t)strtoul(slash + 1, NULL, 10);
    if (strcmp(op, "run") == 0) {
        if (sim->breakage != SIM_STARTS_ARE_DROPPED || strcmp(job, sim->jobs[1].spec.id) != 0)
            worker_start(sim, worker, job, index, attempt);
        return;
    }
    for (int i = 0; i < worker->n_tasks; i++) {
        struct sim_task *task = &worker->tasks[i];
        if (strcmp(task->job, job) != 0 || task->index != index || task->attempt != attempt)
            continue;
        if (strcmp(op, "halt") == 0) {
            worker_stop(sim, worker, task, json_number_value(json_object_get(c, "ease_s")));
        } else if (task->state == RP_TASK_EXITED) {
            *task = worker->tasks[--worker->n_tasks];
        }
        return;
    }
}

static void worker_commands(struct sim *sim, struct sim_worker *worker, json_t *body) {
    json_t *list = json_object_get(body, "signals"), *c;
    size_t i;
    json_array_foreach(list, i, c) {
        worker_command(sim, worker, c);
    }
}

static bool accept_token(struct sim_worker *worker, json_t *body) {
    uint64_t token = (uint64_t)json_integer_value(json_object_get(body, "warrant"));
    if (!json_object_get(body, "warrant") || token < worker->fencing_token)
        return false;
    if (token > worker->fencing_token)
        worker->changed = true;
    worker->fencing_token = token;
    return true;
}

static json_t *heartbeat_body(const struct sim *sim, struct sim_worker *worker) {
    double now = sim->now;
    static const char *const words[] = {"fetching", "waiting", "running", "flushing", "exited"};
    json_t *tasks = json_array();
    for (int i = 0; i < worker->n_tasks; i++) {
        const struct sim_task *task = &worker->tasks[i];
        char name[80];
        snprintf(name, sizeof name, "%s/%u", task->job, task->index);
        json_t *value = json_pack("{s:s,s:I,s:s}", "lift", name, "pull", (json_int_t)task->attempt,
                                  "tension", words[task->state]);
        if (task->exit_reason)
            json_object_set_new(value, "slack_reason", json_string(task->exit_reason));
        if (task->checkpointed)
            json_object_set_new(value, "stored", json_true());
        json_array_append_new(tasks, value);
    }
    worker->sequence_number++;
    json_t *notice =
        worker->reclaimed_at > 0 ? json_real(fmax(0, worker->reclaimed_at - now)) : json_null();
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", "sheave", worker->name, "address",
                     sim_worker_address(sim, worker), "frame", sim_types[worker->type].name, "yard",
                     sim_zones[worker->zone], "loaners", worker->spot, "stint",
                     (json_int_t)worker->incarnation, "tick", (json_int_t)worker->sequence_number,
                     "warrant", (json_int_t)worker->fencing_token, "recall_s", notice, "lifts",
                     tasks);
}

/* A direct command or question, when it arrives. 0: nobody is there to answer. */
static int sim_worker_request(struct sim *sim, const struct sim_event *event, json_t *body,
                              json_t **out) {
    struct sim_worker *worker = NULL;
    int status = 200;
    for (int i = 0; i < sim->size.workers; i++)
        if (sim->workers[i].used && strcmp(sim->workers[i].name, event->addr) == 0)
            worker = &sim->workers[i];
    if (!worker || !worker->alive || !worker->up || sim->now < worker->one_way_partition_until)
        return 0;
    sim->n_direct_to_unreachable += sim->now < worker->unreachable_until;
    if (strcmp(event->target, RP_PATH_DIRECT) == 0) {
        sim->n_direct++;
        if ((uint64_t)json_integer_value(json_object_get(body, "stint")) != worker->incarnation ||
            !accept_token(worker, body))
            status = 409;
        else
            worker_commands(sim, worker, body);
    }
    *out = heartbeat_body(sim, worker);
    return status;
}

/* The machine hangs, or its zone is cut off: what is on its way to it waits. */
static bool sim_worker_is_paused(const struct sim *sim, const struct sim_event *event) {
    for (int i = 0; i < sim->size.workers; i++)
        if (sim->workers[i].used && strcmp(sim->workers[i].name, event->addr) == 0)
            return sim->now < sim->workers[i].paused_until ||
                   sim->partitioned_zone == sim->workers[i].zone + 1;
    return false;
}

/* Members of the gang attempt that are in one of the states; `lost` when fewer than all live. */
static int count_gang_members(const struct sim *sim, const struct sim_task *task, bool ready_only) {
    int n = 0;
    for (int i = 0; i < sim->size.workers; i++)
        for (int k = 0;
             sim->workers[i].used && sim->workers[i].alive && k < sim->workers[i].n_tasks; k++) {
            const struct sim_task *other = &sim->workers[i].tasks[k];
            if (other->job_index == task->job_index && other->attempt == task->attempt &&
                (sim_task_is_placed(other) || (!ready_only && other->state == RP_TASK_FETCHING) ||
                 (other->exit_reason && strcmp(other->exit_reason, "done") == 0)))
                n++;
        }
    return n;
}

/* Users who call a job off at the very moment at which its last task ends. */
static void cancel_at_last_exit(struct sim *sim, struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        if (!job->done[i])
            return;
    if (!job->cancel_at_end || job->cancel_asked)
        return;
    job->cancel_at = sim->now;
    sim->n_cancelled_at_end++;
}

static void task_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    struct sim_job *job = &sim->jobs[task->job_index];
    bool gang = job->spec.kind == RP_JOB_GANG;
    switch (task->state) {
    case RP_TASK_FETCHING:
        if (sim->now < task->ready_at)
            break;
        task->state = gang ? RP_TASK_WAITING : RP_TASK_RUNNING;
        task->ready_at = sim->now;
        task->began_at =
            sim->now - job->checkpointed_s[task->index]; /* what was saved isn't done again */
        worker->changed = true;
        sim_check_start(sim, worker, task);
        break;
    case RP_TASK_WAITING:
        if (count_gang_members(sim, task, true) == (int)job->spec.n_tasks) {
            task->state = RP_TASK_RUNNING;
            task->began_at = sim->now;
            worker->changed = true;
        } else if (sim->now > task->ready_at + GANG_WAIT_S) {
            exit_task(worker, task, "alone", sim->now);
        }
        break;
    case RP_TASK_RUNNING:
        if (gang && sim->now > task->began_at + GANG_PEER_S &&
            count_gang_members(sim, task, false) < (int)job->spec.n_tasks) {
            exit_task(worker, task, "peers", sim->now);
        } else if (worker->fails_tasks && sim->now > task->began_at + 0.5) {
            sim->n_task_errors++;
            exit_task(worker, task, "error", sim->now);
        } else if (job->spec.kind == RP_JOB_SERVICE) {
            if (sim_chance(sim, sim->faults.replica_exit_s > 0
                                    ? SIM_STEP_S / sim->faults.replica_exit_s
                                    : 0) ||
                job->fails_always)
                exit_task(worker, task, sim_chance(sim, 0.5) ? "done" : "error", sim->now);
        } else if (job->done[task->index] || sim->now > task->began_at + job->spec.estimate_s +
                                                            task->index * job->stagger_s) {
            if (job->fails_always ||
                (!job->done[task->index] && sim_chance(sim, sim->faults.task_error))) {
                sim->n_task_errors++;
                exit_task(worker, task, "error", sim->now);
                break;
            }
            job->done[task->index] = sim->breakage != SIM_DONE_TOO_EARLY;
            if (gang)
                for (uint32_t i = 0; i < job->spec.n_tasks; i++)
                    job->done[i] = true;
            exit_task(worker, task, "done", sim->now);
            cancel_at_last_exit(sim, job);
        }
        break;
    case RP_TASK_SAVING:
        if (sim->now >= task->ready_at) {
            task->checkpointed = true;
            if (!gang)
                job->checkpointed_s[task->index] = task->stopped_at - task->began_at;
            exit_task(worker, task, "halted", sim->now);
        }
        break;
    default:
        break;
    }
}

/* Of a broken world: an old report passes for one of the next session. */
static void make_duplicate_look_new(struct sim_event *copy) {
    json_t *value = json_loads(copy->body, 0, NULL);
    json_object_set_new(value, "stint",
                        json_integer(json_integer_value(json_object_get(value, "stint")) + 1));
    json_object_set_new(value, "lifts", json_array());
    free(copy->body);
    copy->body = json_dumps(value, JSON_COMPACT);
    json_decref(value);
}

static void send_heartbeat(struct sim *sim, int index) {
    struct sim_worker *worker = &sim->workers[index];
    if (sim->now < worker->unreachable_until) {
        worker->node = (worker->node + 1) % sim->n_nodes; /* no connection can be made */
        worker->next_heartbeat_at = sim->now + 1;
        worker->changed = false;
        return;
    }
    struct sim_event *event = sim_event_new(sim, EV_HEARTBEAT, sim_network_delay(sim));
    json_t *report = heartbeat_body(sim, worker);
    event->body = json_dumps(report, JSON_COMPACT);
    json_decref(report);
    event->index = index;
    event->node = worker->node;
    event->heartbeat_number = ++worker->heartbeat_number;
    worker->heartbeat_in_flight = true;
    worker->changed = false;
    worker->sent_at = sim->now;
    if (sim->delayed_worker == index + 1 && sim->now < sim->delayed_until)
        event->due_at =
            sim->delayed_until + 0.5 - 0.025 * (sim->delayed_until - sim->now); /* in their order */
    else if (sim_chance(sim, sim->faults.drop))
        event->due_at = sim->now + 1e9;
    else if (sim_chance(sim, sim->faults.delay))
        event->due_at = sim->now + 5 + 60 * sim_uniform(sim);
    bool far = sim_chance(sim, sim->faults.late_duplicate);
    sim_fault_heartbeat(sim, event);
    if (far || sim_chance(sim, sim->faults.duplicate)) {
        struct sim_event *copy = sim_event_new(sim, EV_HEARTBEAT,
                                               far ? 1 + 5 * sim->size.lease_s * sim_uniform(sim)
                                                   : 0.1 + 40 * sim_uniform(sim));
        copy->body = strdup(event->body);
        if (sim->breakage == SIM_DUPLICATES_LOOK_NEW)
            make_duplicate_look_new(copy);
        copy->index = index;
        copy->node = event->node;
        copy->heartbeat_number = 0;
        if (far)
            copy->node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    }
}

static void sim_worker_step(struct sim *sim, int index) {
    struct sim_worker *worker = &sim->workers[index];
    if (!worker->used || !worker->alive)
        return;
    if (!worker->up) {
        if (sim->now < worker->boots_at)
            return;
        worker->up = true;
        worker->incarnation = 1;
        worker->renewed_at = sim->now;
        worker->next_heartbeat_at = sim->now;
        worker->node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    }
    if (worker->reclaimed_at > 0 && sim->now > worker->reclaimed_at) {
        worker->used = worker->alive = false;
        return;
    }
    /* The lease ends by the worker's clock whether the machine hangs or not. */
    if (sim->now > worker->renewed_at + sim->size.lease_s) {
        if (sim->breakage != SIM_WORKERS_KEEP_TASKS)
            worker->n_tasks = 0;
        worker->incarnation++;
        worker->renewed_at = sim->now;
    }
    if (sim->now < worker->paused_until)
        return;
    for (int i = 0; i < worker->n_tasks; i++)
        task_step(sim, worker, &worker->tasks[i]);
    if (worker->heartbeat_in_flight && sim->now > worker->sent_at + 4) {
        worker->heartbeat_in_flight = false;
        worker->node = (worker->node + 1) % sim->n_nodes;
        worker->next_heartbeat_at = sim->now + 1;
    }
    if (!worker->heartbeat_in_flight && (sim->now >= worker->next_heartbeat_at ||
                                         (worker->changed && sim->now > worker->sent_at + 0.5)))
        send_heartbeat(sim, index);
}

static void sim_worker_on_heartbeat_answer(struct sim *sim, const struct sim_event *event) {
    struct sim_worker *worker = &sim->workers[event->index];
    if (!worker->used || !worker->alive || !worker->heartbeat_in_flight ||
        event->heartbeat_number != worker->heartbeat_number || sim->now > worker->sent_at + 4 ||
        sim->now < worker->paused_until || sim->now < worker->one_way_partition_until)
        return;
    worker->heartbeat_in_flight = false;
    worker->next_heartbeat_at = sim->now + 1;
    json_t *body = json_loads(event->body ? event->body : "{}", 0, NULL);
    if (event->status == 200) {
        worker->next_heartbeat_at =
            worker->sent_at + sim->size.heartbeat_s * (0.75 + 0.5 * sim_uniform(sim));
        if (accept_token(worker, body)) {
            worker->renewed_at = worker->sent_at;
            worker_commands(sim, worker, body);
            sim_check_lease_renewal(sim, worker);
        }
    } else {
        const char *leader = json_string_value(json_object_get(body, "foreman"));
        int node = leader && event->status == 421 ? atoi(leader + strlen("n")) : -1;
        worker->node = node >= 0 && node != worker->node ? node : (worker->node + 1) % sim->n_nodes;
        if (node >= 0)
            worker->next_heartbeat_at = sim->now + 0.2;
    }
    json_decref(body);
}

/* ---- nodes and the network between ---- */

struct sim_request {
    struct rp_request req;
    struct sim *sim;
    enum event_kind answer;
    int node;
    unsigned long process_number;
    int index;
    uint64_t heartbeat_number;
    int user_op;
    double asked_at;
    char *body;
};

/* Shows a node's answer to a user or a worker. The request's target is gone by then. */
static void observe_answer(const struct sim_request *request, int status, const char *body,
                           int retry) {
    static const char *const asked[] = {"submission", "question", "cancellation"};
    const struct sim *sim = request->sim;
    char to[128];
    if (request->answer == EV_HEARTBEAT_ANSWER)
        snprintf(to, sizeof to, "%s", sim->workers[request->index].name);
    else if (request->answer == EV_USER_ANSWER)
        snprintf(to, sizeof to, "user:%s:%s", sim->jobs[request->index].spec.id,
                 asked[request->user_op]);
    else
        snprintf(to, sizeof to, "user:odd:%s", asked[request->user_op]);
    sim_observe(sim, (struct sim_message){.from = request->node,
                                          .to = to,
                                          .method = "",
                                          .target = "",
                                          .status = status,
                                          .retry_after = retry,
                                          .body = body});
}

static void on_node_answer(struct rp_request *req, int status, const char *body, int retry) {
    struct sim_request *request = (struct sim_request *)(void *)req;
    struct sim *sim = request->sim;
    observe_answer(request, status, body, retry);
    if (request->heartbeat_number || request->answer != EV_HEARTBEAT_ANSWER) {
        struct sim_event *event = sim_event_new(sim, request->answer, sim_network_delay(sim));
        event->status = status;
        event->body = strdup(body);
        event->index = request->index;
        event->heartbeat_number = request->heartbeat_number;
        event->user_op = request->user_op;
        event->asked_at = request->asked_at;
        if (sim_chance(sim, sim->faults.drop))
            event->due_at += request->answer == EV_HEARTBEAT_ANSWER ? 1e9 : 0;
    }
    free(request->body);
    free(request);
}

/* The answer of a node that is a process. A connection that fails is told at once, silence isn't.
 */
static void on_remote_answer(void *arg, const struct rp_answer *answer) {
    struct sim_request *request = arg;
    if (answer->status || answer->unsent) {
        on_node_answer(&request->req, answer->status ? answer->status : 599, answer->body, 0);
        return;
    }
    free(request->body);
    free(request);
}

static void sim_node_receive(struct sim *sim, int node, const char *method, const char *target,
                             const char *body, enum event_kind answer, int worker, uint64_t flight,
                             int user_op) {
    struct sim_node *n = &sim->nodes[node];
    if (!sim->remote && (!n->alive || sim->now < n->paused_until))
        return;
    struct sim_request *request = calloc(1, sizeof *request);
    if (!request)
        abort();
    request->sim = sim;
    request->answer = answer;
    request->node = node;
    request->index = worker;
    request->heartbeat_number = flight;
    request->user_op = user_op;
    request->asked_at = sim->now;
    request->body = strdup(body ? body : "");
    request->req = (struct rp_request){.method = method,
                                       .target = target,
                                       .body = request->body,
                                       .len = strlen(request->body),
                                       .respond = on_node_answer};
    if (sim->remote)
        sim->remote->call(sim->remote->ctx, node, method, target, request->body, on_remote_answer,
                          request);
    else if (n->old_node)
        sim_old_engine->client(n->old_node, &request->req);
    else
        rp_node_client_request(n->node, &request->req);
}

void sim_send_to_node(struct sim *sim, int node, const char *method, const char *target,
                      const char *body, enum event_kind answer, int index, enum sim_user_op op) {
    sim_node_receive(sim, node, method, target, body, answer, index, 0, (int)op);
}

struct sim_connection {
    struct sim *sim;
    int node;
    unsigned long process_number;
};

/* A node's call into the world. */
static void send_request(struct sim_connection *line, bool once, const char *addr,
                         const char *method, const char *target, const char *body, double timeout_s,
                         rp_answer_fn fn, void *arg) {
    struct sim *sim = line->sim;
    sim_observe(sim, (struct sim_message){.from = line->node,
                                          .to = addr,
                                          .method = method,
                                          .target = target,
                                          .body = body ? body : ""});
    struct sim_event *event = sim_event_new(sim, EV_REQUEST, sim_network_delay(sim));
    event->node = line->node;
    event->process_number = line->process_number;
    snprintf(event->addr, sizeof event->addr, "%s", addr);
    snprintf(event->method, sizeof event->method, "%s", method);
    event->target = strdup(target);
    event->body = body ? strdup(body) : NULL;
    event->deadline = sim->now + timeout_s;
    event->on_answer = fn;
    event->on_answer_arg = arg;
    bool watch = strncmp(target, "/follow", 7) == 0;
    bool lost = !watch && sim_chance(sim, sim->faults.drop);
    event->unsent =
        lost && once && sim_chance(sim, 0.5); /* no connection was made: no copy of it exists */
    if (!event->unsent && sim_chance(sim, sim->faults.duplicate) && strcmp(method, "GET") != 0 &&
        strcmp(target, "/leases") != 0) {
        struct sim_event *copy = sim_event_new(sim, EV_REQUEST, 0.05 + 30 * sim_uniform(sim));
        *copy = (struct sim_event){.kind = EV_REQUEST, .due_at = copy->due_at, .answered = true};
        copy->node = event->node;
        strcpy(copy->addr, addr);
        strcpy(copy->method, method);
        copy->target = strdup(target);
        copy->body = body ? strdup(body) : NULL;
    }
    if (strcmp(addr, "state") == 0 && !watch && sim_chance(sim, sim->faults.slow_store))
        event->due_at += 0.2 + 1.2 * sim_uniform(sim);
    if (lost)
        event->due_at = event->deadline; /* never carried out: the time-out answers */
    else if (!watch && sim_chance(sim, sim->faults.delay))
        event->due_at = sim->now + timeout_s + 30 * sim_uniform(sim);
    else if (strcmp(target, "/txn") == 0)
        sim_fault_transaction(sim, event);
}

static void on_call(void *ctx, const char *addr, const char *method, const char *target,
                    const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    send_request(ctx, false, addr, method, target, body, timeout_s, fn, arg);
}

static void on_call_once(void *ctx, const char *addr, const char *method, const char *target,
                         const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    send_request(ctx, true, addr, method, target, body, timeout_s, fn, arg);
}

static void sim_answer_node(struct sim *sim, struct sim_event *event, int status, json_t *out) {
    struct sim_node *node = &sim->nodes[event->node];
    char *text = out ? json_dumps(out, JSON_COMPACT) : NULL;
    struct rp_answer answer = {.status = status,
                               .unsent = status == 0 && event->unsent,
                               .body = text ? text : "",
                               .len = text ? strlen(text) : 0};
    event->answered = true;
    if (node->alive && node->process_number == event->process_number)
        event->on_answer(event->on_answer_arg, &answer);
    free(text);
}

/* Nodes answer one another at once, so the answer can be kept on the stack. */
struct peer_request {
    struct rp_request req;
    const struct sim *sim;
    int from, to;
    int status;
    json_t *body;
};

static void on_peer_answer(struct rp_request *req, int status, const char *body, int retry_after) {
    struct peer_request *request = (struct peer_request *)(void *)req;
    char to[32];
    snprintf(to, sizeof to, "peer%d", request->to);
    sim_observe(request->sim, (struct sim_message){.from = request->from,
                                                   .to = to,
                                                   .method = req->method,
                                                   .target = req->target,
                                                   .status = status,
                                                   .retry_after = retry_after,
                                                   .body = body});
    request->status = status;
    request->body = json_loads(body, 0, NULL);
}

static int sim_peer_request(struct sim *sim, const struct sim_event *event, json_t **out) {
    int index = event->addr[strlen("peer")] - '0';
    struct sim_node *node = &sim->nodes[index];
    struct peer_request request = {.req = {.method = event->method,
                                           .target = event->target,
                                           .body = "",
                                           .respond = on_peer_answer},
                                   .sim = sim,
                                   .from = index,
                                   .to = event->node};
    if (!node->alive || sim->now < node->paused_until || sim->now < sim->peer_partition_until)
        return 0;
    if (node->old_node)
        sim_old_engine->peer(node->old_node, &request.req);
    else
        rp_node_peer_request(node->node, &request.req);
    *out = request.body;
    return request.status;
}

/* The node that the request goes to stands still: no answer, and no refusal either. */
static bool is_paused_peer(const struct sim *sim, const struct sim_event *event) {
    return strncmp(event->addr, "peer", 4) == 0 &&
           sim->now < sim->nodes[event->addr[strlen("peer")] - '0'].paused_until;
}

static bool is_for_worker(const struct sim_event *event) {
    return strncmp(event->addr, "vm-", 3) == 0;
}

static void sim_time_out(struct sim *sim, struct sim_event *event) {
    if (!event->answered)
        sim_answer_node(sim, event, 0, NULL);
}

/* A node that has lost the state service and the other nodes reaches neither; a request already
 * under way may still be carried out. */
static bool is_partitioned(const struct sim *sim, const struct sim_event *event) {
    bool peer = strncmp(event->addr, "peer", 4) == 0;
    return sim->now < sim->nodes[event->node].partitioned_until ||
           (peer && sim->now < sim->nodes[event->addr[strlen("peer")] - '0'].partitioned_until);
}

/* Returns true when the event is over. */
static bool sim_on_request(struct sim *sim, struct sim_event *event) {
    json_t *out = NULL, *body;
    int status;
    bool watch = strncmp(event->target, "/follow", 7) == 0;
    if (!event->answered && sim->nodes[event->node].alive &&
        sim->now < sim->nodes[event->node].paused_until) {
        event->due_at = sim->now + 0.1; /* the node takes no answer just now */
        return false;
    }
    if (watch && event->answered)
        return true;
    if (!event->answered && is_paused_peer(sim, event) && sim->now < event->deadline) {
        event->due_at = event->deadline;
        return false;
    }
    if (!event->answered && strcmp(event->addr, "cloud") != 0 && is_partitioned(sim, event)) {
        event->due_at = event->deadline + SIM_STEP_S; /* silence: the time-out answers */
        return false;
    }
    if (watch) {
        bool cut = sim->now < sim->store_outage_until ||
                   sim->now < sim->nodes[event->node].store_refusal_until;
        out = cut ? NULL : store_changes(sim, event->target);
        if (sim->now < event->deadline - 1.5 &&
            (!out || !json_array_size(json_object_get(out, "log")))) {
            json_decref(out);
            event->due_at = sim->now + SIM_STEP_S;
            return false;
        }
        sim_answer_node(sim, event, out ? 200 : 503, out);
        json_decref(out);
        return true;
    }
    if (!event->answered && sim->now >= event->deadline &&
        (event->unsent || sim_chance(sim, 0.5))) {
        sim_time_out(sim, event);
        return true;
    }
    if (is_for_worker(event) && sim_worker_is_paused(sim, event)) {
        if (!event->answered && sim->now >= event->deadline)
            sim_time_out(sim, event);
        event->due_at =
            sim->now + 0.1; /* carried out when the machine goes on, if it still may be */
        return false;
    }
    if (!event->answered && sim->now >= event->deadline)
        sim_time_out(sim, event);
    body = event->body ? json_loads(event->body, 0, NULL) : NULL;
    if (strcmp(event->addr, "state") == 0)
        status = sim_store_request(sim, event, body, &out);
    else if (strcmp(event->addr, "cloud") == 0)
        status = sim_cloud_request(sim, event, body, &out);
    else if (is_for_worker(event))
        status = sim_worker_request(sim, event, body, &out);
    else
        status = sim_peer_request(sim, event, &out);
    if (!event->answered) {
        event->unsent = false;
        if (sim_chance(sim, sim->faults.drop))
            sim_time_out(sim, event);
        else
            sim_answer_node(sim, event, status, out);
    }
    json_decref(out);
    json_decref(body);
    return true;
}

static void sim_node_start(struct sim *sim, int index) {
    struct sim_node *node = &sim->nodes[index];
    if (sim->remote)
        return;
    struct sim_connection *line = calloc(1, sizeof *line);
    if (!line)
        abort();
    *line = (struct sim_connection){
        .sim = sim, .node = index, .process_number = ++node->process_number};
    struct rp_net net = {.ctx = line, .call = on_call, .call_once = on_call_once};
    node->alive = true;
    node->is_old_version = node->restarts_as_old;
    node->clock_drift = 1.0 + 0.0005 * sim_uniform(sim);
    node->clock_offset_s = 100 + 1000 * sim_uniform(sim) - sim->now * node->clock_drift;
    double now = node->clock_offset_s + sim->now * node->clock_drift;
    if (node->is_old_version && sim_old_engine) {
        node->old_node = sim_old_engine->open(node->settings, &net, now);
        if (!node->old_node)
            abort();
        return;
    }
    node->node = calloc(1, sizeof *node->node);
    if (!node->node)
        abort();
    sim->settings[index].tuning.keep_old_forms = node->is_old_version;
    rp_loop_init(&node->loop, true);
    node->loop.virtual_now = rp_ts(now);
    if (rp_node_init(node->node, &node->loop, net, &sim->settings[index]) < 0)
        abort();
    rp_node_start(node->node);
}

void sim_crash(struct sim *sim, int node, double back_s) {
    struct sim_node *n = &sim->nodes[node];
    if (!n->alive)
        return;
    /* What the process held is gone with it; requests under way are leaked on purpose, as the
     * node's call-backs must never run again. */
    n->alive = false;
    n->restarts_at = sim->now + back_s;
    if (n->old_node) {
        sim_old_engine->close(n->old_node);
        n->old_node = NULL;
        return;
    }
    rp_node_close(n->node);
    rp_loop_close(&n->loop);
}

void sim_upgrade(struct sim *sim, int node, double back_s) {
    sim_crash(sim, node, back_s);
    sim->nodes[node].restarts_as_old = sim->nodes[node].is_old_version = false;
}

void sim_start_as_old_version(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++) {
        sim->nodes[i].restarts_as_old = true;
        sim_crash(sim, i, 0);
        sim_node_start(sim, i);
    }
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
    sim_key_put(sim, key, value, 0);
    json_decref(value);
}

const json_t *sim_find_record(struct sim *sim, const char *key) {
    struct sim_key *entry = sim_key_find(sim, key);
    return entry ? entry->value : NULL;
}

bool sim_has_stored_result(struct sim *sim, const char *job, uint32_t task) {
    char key[RP_KEY_MAX];
    uint8_t bits[RP_CHUNK_BYTES] = {0};
    rp_key_progress(key, job, 0);
    struct sim_key *chunk = sim_key_find(sim, key);
    rp_key_unit(key, job, 0);
    struct sim_key *unit = sim_key_find(sim, key);
    if (chunk && !rp_record_progress_read(chunk->value, bits, (SIM_JOB_TASKS + 7) / 8))
        abort();
    if (unit && !rp_record_progress_read(unit->value, bits, (SIM_JOB_TASKS + 7) / 8))
        abort();
    return bits[task / 8] >> (task % 8) & 1;
}

size_t sim_count_stored(struct sim *sim, const char *prefix) {
    size_t n = 0;
    for (int i = 0; i < sim->n_keys; i++)
        n += sim_has_prefix(sim->keys[i].key, prefix);
    return n;
}

static bool is_leading(const struct sim_node *node) {
    if (!node->alive)
        return false;
    return node->old_node ? sim_old_engine->leads(node->old_node)
                          : node->node->state == RP_NODE_LEADING;
}

int sim_leader(const struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++)
        if (is_leading(&sim->nodes[i]))
            return i;
    return -1;
}

static void sim_node_step(struct sim *sim, int index) {
    struct sim_node *node = &sim->nodes[index];
    if (!node->alive) {
        if (sim->now >= node->restarts_at)
            sim_node_start(sim, index);
        return;
    }
    if (sim->now < node->paused_until)
        return;
    double now = node->clock_offset_s + sim->now * node->clock_drift;
    if (node->old_node)
        sim_old_engine->advance(node->old_node, now);
    else
        rp_loop_advance(&node->loop, rp_ts(now));
}

/* ---- users ---- */

void sim_send_for_user(struct sim *sim, int job, enum sim_user_op op, int node) {
    static const char *const ends[] = {"", "", "/cancel"};
    char target[128];
    if (sim->node_in_partition == node + 1)
        return;
    snprintf(target, sizeof target, op == USER_SUBMITS ? "/v1/jobs%.0s%.0s" : "/v1/jobs/%s%s",
             sim->jobs[job].spec.id, ends[op]);
    sim_send_to_node(sim, node, op == USER_POLLS ? "GET" : "POST", target,
                     op == USER_SUBMITS ? sim->jobs[job].body : "", EV_USER_ANSWER, job, op);
}

static void send_to_any_node(struct sim *sim, int job, enum sim_user_op op) {
    sim_send_for_user(sim, job, op,
                      (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes));
}

static void sim_user_on_answer(struct sim *sim, const struct sim_event *event) {
    struct sim_job *job = &sim->jobs[event->index];
    if (sim->breakage == SIM_POLLS_ARE_DROPPED && event->index == 0 && job->accepted)
        return;
    json_t *body = json_loads(event->body, 0, NULL);
    const char *word = json_string_value(json_object_get(body, "tension"));
    if (event->status == 404 && job->accepted)
        sim_violated(sim, "forgotten: %s gets 404", job->spec.id);
    if ((event->status == 400 || event->status == 422) && job->accepted)
        sim_violated(sim, "forgotten: %s gets %d", job->spec.id, event->status);
    bool untold = sim->breakage == SIM_GANGS_ARE_NOT_SERVED && job->spec.kind == RP_JOB_GANG;
    if (untold && word && strcmp(word, "done") == 0)
        word = "running";
    if (sim->breakage == SIM_ANSWERS_ARE_STALE && job->told_done)
        word = "pending";
    if (word) {
        sim->n_polls_known += event->user_op == USER_POLLS;
        job->answered_at = sim->now;
        if (!job->accepted) {
            job->accepted_at = sim->now;
            job->accepted = true;
            if (job->cancel_on_acceptance)
                job->cancel_at = sim->now;
            sim_read_concurrently(sim, event->index);
        }
        if (strcmp(word, "done") == 0) {
            if (job->told_cancelled)
                sim_violated(sim, "went_back: %s", job->spec.id);
            sim_check_done(sim, job);
            sim->n_done_jobs += !job->told_done;
            if (!job->told_done) {
                job->told_at = sim->now;
                job->told_done = true;
                sim_read_concurrently(sim, event->index);
            }
        } else if (strcmp(word, "aborted") == 0) {
            if (job->told_done || !job->cancel_asked)
                sim_violated(sim, "went_back: %s cancelled", job->spec.id);
            if (!job->told_cancelled) {
                job->cancelled_at = job->told_at = sim->now;
                job->told_cancelled = true;
                sim_read_concurrently(sim, event->index);
            }
        } else if ((job->told_done || job->told_cancelled) && event->asked_at > job->told_at) {
            /* An answer may cross another on its way: only what was asked afterwards counts. */
            sim_violated(sim, "went_back: %s is %s", job->spec.id, word);
        }
    }
    json_decref(body);
}

static void sim_user_step(struct sim *sim, int index) {
    struct sim_job *job = &sim->jobs[index];
    if (sim->now < job->submit_at)
        return;
    if (!job->accepted || sim_chance(sim, 0.0002)) {
        if (!job->accepted)
            job->submit_at = sim->now + 1;
        send_to_any_node(sim, index, USER_SUBMITS);
        return;
    }
    bool over = job->told_cancelled || job->told_done;
    if (job->cancel_at > 0 && sim->now > job->cancel_at && (!over || job->cancel_again)) {
        job->cancel_again = job->cancel_again && !over; /* once more, when it is over */
        job->cancel_asked = true;
        job->cancel_at = sim->now + 1;
        send_to_any_node(sim, index, USER_CANCELS);
    }
    if (sim->now > job->poll_at) {
        /* Hundreds of users who go on asking about what is over would be all that is measured. */
        bool seldom = over && sim->n_jobs > 128;
        double again = (seldom ? 20 : 2) + 3 * sim_uniform(sim);
        job->poll_at = sim->now + again * (sim->has_eager_users ? 0.05 : 1);
        sim->n_polls++;
        send_to_any_node(sim, index, USER_POLLS);
    }
}

int sim_submit(struct sim *sim, double at, const char *kind, unsigned tasks, double cpus,
               double run_s, double cancel_at) {
    struct sim_job *job = &sim->jobs[sim->n_jobs];
    char id[32];
    struct rp_codec_error error;
    snprintf(id, sizeof id, "j-%06d", sim->n_jobs);
    bool gang = strncmp(kind, "ensemble", strlen("ensemble")) == 0;
    bool service = strcmp(kind, "service") == 0;
    bool low = !gang || strcmp(kind, "ensemble:low") == 0;
    json_t *value = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "ref",
        id, "rig",
        gang      ? "g"
        : service ? "s"
                  : "a",
        "crew", "t", "haul", gang ? "ensemble" : kind, "precedence",
        service ? "critical"
        : low   ? "low"
                : "urgent",
        "lifts", (int)tasks, "vcpus", cpus, "cards", 0.0, "memory_gb", 2.0, "payload", "img-1",
        "image_gb", 1.0, "frames", "yard", "one_zone", gang, "spread", service, "loaners", !service,
        "run_guess_s", service ? 0.0 : run_s, "brace_every_s", service ? 0.0 : 5.0, "brace_s", 1.0,
        "due_s");
    if (!value || !rp_job_codec_read_spec(value, &job->spec, &error))
        abort();
    job->used = true;
    job->body = json_dumps(value, JSON_COMPACT);
    job->submit_at = at;
    job->cancel_at = cancel_at;
    json_decref(value);
    return sim->n_jobs++;
}

void sim_set_field(struct sim *sim, int index, const char *field, json_t *value) {
    struct sim_job *job = &sim->jobs[index];
    struct rp_codec_error error;
    json_t *v = json_loads(job->body, 0, NULL);
    json_object_set_new(v, field, value);
    rp_job_spec_free(&job->spec);
    if (!rp_job_codec_read_spec(v, &job->spec, &error))
        abort();
    free(job->body);
    job->body = json_dumps(v, JSON_COMPACT);
    json_decref(v);
}

int sim_submit_long(struct sim *sim, double at, unsigned tasks, double run_s) {
    int index = sim_submit(sim, at, "sweep", tasks, 1, run_s, 0);
    struct sim_job *job = &sim->jobs[index];
    json_t *value = json_loads(job->body, 0, NULL), *types = json_array();
    char text[RP_TEXT_MAX];
    memset(text, 1, sizeof text - 1); /* each takes six bytes in JSON */
    text[sizeof text - 1] = '\0';
    json_object_set_new(value, "rig", json_string(text));
    json_object_set_new(value, "payload", json_string(text));
    for (int i = 0; i < 900; i++) {
        snprintf(text, sizeof text, "a-type-that-no-machine-is-of-%d", i);
        json_array_append_new(types, json_string(i % 300 == 7 ? "wide" : text));
    }
    json_object_set_new(value, "frames", types);
    free(job->body);
    job->body = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return index;
}

/* ---- the world's steps ---- */

/* A zone that is cut off keeps working inside, with the node that is in it. */
static void on_heartbeat(struct sim *sim, const struct sim_event *event) {
    for (int node = 0; node < sim->n_nodes; node++) {
        bool inside = sim->node_in_partition == node + 1;
        bool from_inside =
            sim->partitioned_zone && sim->partitioned_zone == sim->workers[event->index].zone + 1;
        if ((node != event->node && !event->held_for_next_leader) ||
            sim->node_without_heartbeats == node + 1 || inside != from_inside)
            continue;
        sim_node_receive(sim, node, "POST", RP_PATH_HEARTBEAT, event->body, EV_HEARTBEAT_ANSWER,
                         event->index, event->heartbeat_number, 0);
    }
    sim->n_held_duplicates -= event->held_for_next_leader;
}

static void process_events(struct sim *sim) {
    for (int i = 0; i < sim->n_events; i++) {
        struct sim_event *event = sim->events[i];
        bool over = true;
        if (event->kind == EV_REQUEST && !event->answered && sim->now >= event->deadline &&
            event->due_at > sim->now && sim->now >= sim->nodes[event->node].paused_until)
            sim_time_out(sim, event);
        if (event->due_at > sim->now)
            continue;
        switch (event->kind) {
        case EV_REQUEST:
            over = sim_on_request(sim, event);
            break;
        case EV_HEARTBEAT:
            on_heartbeat(sim, event);
            break;
        case EV_HEARTBEAT_ANSWER:
            sim_worker_on_heartbeat_answer(sim, event);
            break;
        case EV_USER_ANSWER:
            sim_user_on_answer(sim, event);
            break;
        case EV_CONCURRENT_READ:
            sim_send_for_user(sim, event->index, (enum sim_user_op)event->user_op, event->node);
            break;
        case EV_INVALID_ANSWER:
            sim_check_invalid_request(sim, event);
            break;
        }
        if (over) {
            /* Call-backs may have added events: only the slot is reused. */
            sim->events[i] = sim->events[--sim->n_events];
            sim_event_free(event);
            i--;
        }
    }
}

static void expire_leases(struct sim *sim) {
    /* Leases stand still during an outage, and have their full time again after it. */
    for (int i = 0; i < SIM_LEASES; i++) {
        struct sim_lease *lease = &sim->leases[i];
        if (lease->id && sim->now < sim->store_outage_until)
            lease->expires_at = sim->now + lease->ttl_s;
        if (lease->id && sim->now > lease->expires_at)
            sim_lease_expire(sim, lease);
    }
}

void sim_step(struct sim *sim, double now) {
    sim->now = now;
    sim_inject_faults(sim);
    expire_leases(sim);
    for (int i = 0; i < sim->n_nodes && !sim->remote; i++)
        sim_node_step(sim, i);
    for (int i = 0; i < sim->size.workers; i++)
        sim_worker_step(sim, i);
    for (int i = 0; i < sim->n_jobs; i++)
        sim_user_step(sim, i);
    process_events(sim);
    sim->steps++;
    sim_check_step(sim);
}

void sim_run(struct sim *sim, double seconds) {
    double end = sim->now + seconds;
    while (sim->now < end && !sim->violation[0])
        sim_step(sim, sim->now + SIM_STEP_S);
}

/* The process that asks isn't told apart: no trouble befalls single ones. */
#define REMOTE_NODE (SIM_NODES_MAX - 1)

void sim_remote_request(struct sim *sim, const char *addr, const char *method, const char *target,
                        const char *body, rp_answer_fn fn, void *arg) {
    struct sim_event *event = sim_event_new(sim, EV_REQUEST, sim_network_delay(sim));
    char hold_ms[32];
    double timeout_s = 60;
    if (strncmp(target, "/follow", 7) == 0) /* request_arrives answers 1.5 s before the time-out */
        timeout_s =
            1.5 +
            strtod(sim_query_parameter(target, "hold_ms=", hold_ms, sizeof hold_ms) ? hold_ms : "0",
                   NULL) /
                1000;
    event->node = REMOTE_NODE;
    snprintf(event->addr, sizeof event->addr, "%s", addr);
    snprintf(event->method, sizeof event->method, "%s", method);
    event->target = strdup(target);
    event->body = strdup(body);
    event->deadline = sim->now + timeout_s;
    event->on_answer = fn;
    event->on_answer_arg = arg;
}

bool sim_all_terminal(const struct sim *sim) {
    for (int i = 0; i < sim->n_jobs; i++)
        if (!sim->jobs[i].told_done && !sim->jobs[i].told_cancelled && !sim->jobs[i].fails_always)
            return false;
    return true;
}

static const char settings_text[] =
    "{\"node_name\":\"n%d\",\"location\":\"a\",\"client_listen\":\"10.0.0.1:1\",\"peer_listen\":"
    "\"10.0.0.1:2\",\"seeds\":[%s],\"external\":{\"cloud\":\"cloud\",\"state\":\"state\"},"
    "\"params\":{\"nodes\":%d,\"zones\":[\"a\",\"b\"],\"teams\":[{\"name\":\"t\",\"cpus\":0,"
    "\"cpus_max\":60,\"gpus\":0,\"gpus_max\":0},{\"name\":\"guests\",\"cpus\":0,\"cpus_max\":0,"
    "\"gpus\":0,\"gpus_max\":0}],\"objectives\":[],\"workers\":{\"report_s\":%g,"
    "\"lease_s\":%g,\"gang_wait_s\":40,\"gang_peer_s\":5,\"cancel_s\":%g},\"state\":{\"rps\":%g,"
    "\"write_rps\":%g,\"value_kb\":8,\"txn_ops\":8,\"next\":{\"write_rps\":%g,"
    "\"value_kb\":1,\"txn_ops\":4}},\"cloud\":{\"rps\":%g,\"list_lag_s\":3},"
    "\"machine_limits\":{\"cpu_share\":0.1,\"mem_mb\":64,\"max_connections\":800}}}";

struct sim *sim_new(unsigned long seed, const struct sim_faults *faults, enum sim_breakage breakage,
                    int n_nodes) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    return sim_new_sized(seed, faults, breakage, n_nodes, &small);
}

static struct sim *create_world(unsigned long seed, const struct sim_faults *faults,
                                enum sim_breakage breakage, int n_nodes,
                                const struct sim_size *size, const struct sim_remote *remote) {
    struct sim *sim = calloc(1, sizeof *sim);
    if (!sim)
        abort();
    sim->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(sim->rng, seed);
    sim->size = *size;
    sim->n_nodes = n_nodes;
    sim->remote = remote;
    sim->faults = *faults;
    sim->breakage = breakage;
    sim->limits = (struct sim_limits){8192, 8, size->write_rps};
    sim->announced_limits = (struct sim_limits){1024, 4, size->write_rps * 0.75};
    sim->write_tokens = size->write_rps;
    sim->change_log = json_array();
    sim->provisioned = json_object();
    for (int i = 0; i < sim->n_nodes; i++) {
        char *text;
        char peers[1024] = "";
        for (int p = 0; p < sim->n_nodes; p++)
            if (p != i)
                sprintf(peers + strlen(peers),
                        "%s{\"node_name\":\"n%d\",\"location\":\"a\",\"addr\":\"peer%d\"}",
                        *peers ? "," : "", p, p);
        if (asprintf(&text, settings_text, i, peers, sim->n_nodes, size->heartbeat_s, size->lease_s,
                     size->cancel_s, size->rps, size->write_rps, size->write_rps * 0.75,
                     size->cloud_rps) < 0 ||
            rp_platform_file_parse(&sim->settings[i], text, "settings", stderr))
            abort();
        sim->nodes[i].settings = text;
        rp_settings_complete(&sim->settings[i]);
        sim->settings[i].tuning.round_period_s = 2;
        sim->settings[i].tuning.standby = sim_standby || getenv("RP_SIM_STANDBY");
        sim_node_start(sim, i);
    }
    return sim;
}

struct sim *sim_new_sized(unsigned long seed, const struct sim_faults *faults,
                          enum sim_breakage breakage, int n_nodes, const struct sim_size *size) {
    return create_world(seed, faults, breakage, n_nodes, size, NULL);
}

struct sim *sim_new_remote(unsigned long seed, int n_nodes, const struct sim_size *size,
                           const struct sim_remote *remote) {
    static const struct sim_faults none = {0};
    struct sim *sim = create_world(seed, &none, SIM_SOUND, n_nodes, size, remote);
    sim->nodes[REMOTE_NODE].alive = true;
    return sim;
}

void sim_free(struct sim *sim) {
    sim->nodes[REMOTE_NODE].alive &= !sim->remote;
    for (int i = 0; i < sim->n_nodes; i++) {
        sim_crash(sim, i, 1e9);
        free(sim->nodes[i].settings);
        rp_settings_free(&sim->settings[i]);
    }
    for (int i = 0; i < sim->n_events; i++)
        sim_event_free(sim->events[i]);
    while (sim->n_keys > 0)
        sim_key_delete(sim, &sim->keys[sim->n_keys - 1]);
    for (int i = 0; i < sim->n_jobs; i++) {
        free(sim->jobs[i].body);
        rp_job_spec_free(&sim->jobs[i].spec);
    }
    json_decref(sim->change_log);
    json_decref(sim->provisioned);
    gsl_rng_free(sim->rng);
    free(sim);
}
