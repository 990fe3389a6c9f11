#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include "http/client.h"
#include "http/server.h"

#define STEP_S 0.02
#define REPORT_TIMEOUT_S 4.0 /* PROTOCOL, "Workers" */
#define RETRY_S 1.0
#define FOREMAN_DELAY_S 0.2
#define CHANGE_DELAY_S 0.5
#define FAILS_AFTER_S 0.5
#define USER_TIMEOUT_S 5.0
#define POLL_TIMEOUT_S 2.0
#define LEASES_MAX 256
#define RECORD_BODY_MAX 600

struct world_options options;
struct world_machine machines[WORLD_MACHINES_MAX];
int n_machines;
struct world_job jobs[WORLD_JOBS_MAX];
int n_jobs;

struct node {
    pid_t pid;
    char name[16], client[32], peer[32], peer_proxy[32], settings[160], log[160];
    struct rp_http_server proxy;
    bool is_proxy_open;
};

struct kv_key {
    char *path;
    json_t *value;
    json_int_t revision, lease;
};

struct kv_lease {
    json_int_t id;
    double ttl_s, expires_at;
};

struct watcher {
    struct rp_request *req;
    char prefix[128];
    json_int_t from;
    double until;
    struct watcher *next;
};

struct late_write {
    json_t *body;
    double due_at;
    struct late_write *next;
};

static struct rp_loop loop;
static struct rp_http_client client;
static struct rp_net net;
static struct rp_timer step_timer;
static struct timespec started_at;
static FILE *record_file;
static int exit_code;
static char directory[96];
static struct node nodes[WORLD_NODES];
static struct rp_http_server store_server, cloud_server;
static char store_address[32], cloud_address[32];
static struct rp_http_server machine_servers[WORLD_MACHINES_MAX];

static struct kv_key *keys;
static int n_keys;
static json_int_t revision, last_lease;
static struct kv_lease leases[LEASES_MAX];
static json_t *change_log;
static struct watcher *watchers;
static struct late_write *late_writes;
static json_t *hires;

static const struct rp_http_limits server_limits = {.max_connections = 900,
                                                    .max_body_bytes = 1 << 20,
                                                    .idle_timeout_s = 600,
                                                    .receive_timeout_s = 30,
                                                    .send_timeout_s = 30};

double world_now(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return rp_ts_since(now, started_at);
}

void record(const char *format, ...) {
    va_list ap;
    va_start(ap, format);
    fprintf(record_file, "%8.3f ", world_now());
    vfprintf(record_file, format, ap);
    fputc('\n', record_file);
    va_end(ap);
}

/* ---- ports ---- */

static int next_port;

static void free_address(char out[32]) {
    for (;;) {
        struct sockaddr_in address = {.sin_family = AF_INET};
        int one = 1;
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons((uint16_t)next_port);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        int rc = bind(fd, (struct sockaddr *)&address, sizeof address);
        close(fd);
        snprintf(out, 32, "127.0.0.1:%d", next_port++);
        if (rc == 0)
            return;
    }
}

static void open_server(struct rp_http_server *server, char address[32], rp_request_fn fn,
                        void *arg) {
    do
        free_address(address);
    while (rp_http_server_open(server, &loop, address, &server_limits, fn, arg) < 0);
}

static void respond(struct rp_request *req, int status, json_t *body) {
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    req->respond(req, status, text ? text : "{}", 0);
    free(text);
    json_decref(body);
}

/* ---- the state service ---- */

static struct kv_key *find_key(const char *path) {
    for (int i = 0; i < n_keys; i++)
        if (strcmp(keys[i].path, path) == 0)
            return &keys[i];
    return NULL;
}

const json_t *stored_value(const char *key) {
    const struct kv_key *found = find_key(key);
    return found ? found->value : NULL;
}

int n_keys_below(const char *prefix) {
    int n = 0;
    for (int i = 0; i < n_keys; i++)
        n += strncmp(keys[i].path, prefix, strlen(prefix)) == 0;
    return n;
}

int leader_node(void) {
    const char *name = json_string_value(json_object_get(stored_value("rp/main/leader"), "node"));
    for (int i = 0; name && i < WORLD_NODES; i++)
        if (strcmp(nodes[i].name, name) == 0)
            return i;
    return -1;
}

static void delete_key(struct kv_key *key) {
    json_array_append_new(change_log,
                          json_pack("{s:s,s:I}", "delete", key->path, "key_rev", revision));
    free(key->path);
    json_decref(key->value);
    *key = keys[--n_keys];
}

static void put_key(const char *path, json_t *value, json_int_t lease) {
    struct kv_key *key = find_key(path);
    if (!key) {
        keys = realloc(keys, (size_t)(n_keys + 1) * sizeof *keys);
        key = &keys[n_keys++];
        *key = (struct kv_key){.path = strdup(path)};
    }
    json_decref(key->value);
    key->value = json_incref(value);
    key->revision = revision;
    key->lease = lease;
    json_array_append_new(
        change_log, json_pack("{s:s,s:O,s:I}", "write", path, "v", value, "key_rev", revision));
}

static struct kv_lease *find_lease(json_int_t id) {
    for (int i = 0; id && i < LEASES_MAX; i++)
        if (leases[i].id == id)
            return &leases[i];
    return NULL;
}

static void end_lease(struct kv_lease *lease) {
    revision++;
    for (int i = n_keys; i-- > 0;)
        if (keys[i].lease == lease->id)
            delete_key(&keys[i]);
    lease->id = 0;
}

/* The changes below the prefix after the revision, oldest first. */
static json_t *changes_after(const char *prefix, json_int_t from) {
    json_t *list = json_array();
    json_t *change;
    size_t i;
    json_array_foreach(change_log, i, change) {
        const char *path = json_string_value(json_object_get(change, "write"));
        path = path ? path : json_string_value(json_object_get(change, "delete"));
        if (json_integer_value(json_object_get(change, "key_rev")) > from &&
            strncmp(path, prefix, strlen(prefix)) == 0)
            json_array_append(list, change);
    }
    return list;
}

static void serve_watchers(void) {
    for (struct watcher **link = &watchers; *link;) {
        struct watcher *watcher = *link;
        json_t *changes = changes_after(watcher->prefix, watcher->from);
        if (json_array_size(changes) == 0 && world_now() < watcher->until) {
            json_decref(changes);
            link = &watcher->next;
            continue;
        }
        *link = watcher->next;
        respond(watcher->req, 200, json_pack("{s:I,s:o}", "ledger_rev", revision, "log", changes));
        free(watcher);
    }
}

static const char *parameter(const char *target, const char *name, char *out, size_t size) {
    const char *from = strstr(target, name);
    size_t n = 0;
    for (from = from ? from + strlen(name) : ""; from[n] && from[n] != '&' && n + 1 < size; n++)
        out[n] = from[n];
    out[n] = '\0';
    return out;
}

static int carry_out(const json_t *body, json_t **out) {
    json_t *item;
    size_t i;
    json_t *failed = json_array();
    json_array_foreach(json_object_get(body, "then"), i, item) {
        json_int_t lease = json_integer_value(json_object_get(item, "lashing"));
        if (lease && !find_lease(lease)) {
            json_decref(failed);
            *out = json_pack("{s:s}", "error", "no such lease");
            return 400;
        }
    }
    json_array_foreach(json_object_get(body, "when"), i, item) {
        const char *path = json_string_value(json_object_get(item, "path"));
        const struct kv_key *key = find_key(path);
        if ((key ? key->revision : 0) != json_integer_value(json_object_get(item, "key_rev")))
            json_array_append_new(failed, json_string(path));
    }
    if (json_array_size(failed) > 0) {
        *out = json_pack("{s:o,s:I}", "failed", failed, "ledger_rev", revision);
        return 409;
    }
    json_decref(failed);
    if (json_array_size(json_object_get(body, "then")) > 0)
        revision++;
    json_array_foreach(json_object_get(body, "then"), i, item) {
        const char *written = json_string_value(json_object_get(item, "write"));
        const char *deleted = json_string_value(json_object_get(item, "delete"));
        if (written)
            put_key(written, json_object_get(item, "v"),
                    json_integer_value(json_object_get(item, "lashing")));
        else if (find_key(deleted))
            delete_key(find_key(deleted));
    }
    *out = json_pack("{s:I}", "ledger_rev", revision);
    return 200;
}

static void carry_out_late_writes(void) {
    for (struct late_write **link = &late_writes; *link;) {
        struct late_write *write = *link;
        json_t *out = NULL;
        if (world_now() < write->due_at) {
            link = &write->next;
            continue;
        }
        *link = write->next;
        int status = carry_out(write->body, &out);
        record("state: a late transaction is carried out: status %d", status);
        json_decref(out);
        json_decref(write->body);
        free(write);
    }
}

static bool is_about_rentals(const json_t *body) {
    json_t *item;
    size_t i;
    json_array_foreach(json_object_get(body, "then"), i, item) {
        const char *path = json_string_value(json_object_get(item, "write"));
        if (path && strncmp(path, "rp/main/rental/", strlen("rp/main/rental/")) == 0)
            return true;
    }
    return false;
}

static void answer_transaction(struct rp_request *req) {
    json_t *body = json_loads(req->body, 0, NULL);
    json_t *out = NULL;
    double late_s = options.late_write_s ? options.late_write_s(body) : 0;
    if (late_s > 0) {
        struct late_write *write = calloc(1, sizeof *write);
        *write = (struct late_write){body, world_now() + late_s, late_writes};
        late_writes = write;
        record("state: no answer, carried out %.1f s later: %.*s", late_s, RECORD_BODY_MAX,
               req->body);
        return; /* never answered */
    }
    int status = carry_out(body, &out);
    if (is_about_rentals(body))
        record("state: status %d: %s", status, req->body);
    json_decref(body);
    respond(req, status, out);
}

static int compare_keys(const void *a, const void *b) {
    return strcmp(((const struct kv_key *)a)->path, ((const struct kv_key *)b)->path);
}

static json_t *list_keys(const char *target) {
    char prefix[128], from[256], limit[16];
    json_t *rows = json_array();
    bool has_next = false;
    parameter(target, "prefix=", prefix, sizeof prefix);
    parameter(target, "&from=", from, sizeof from);
    size_t max = strtoul(parameter(target, "limit=", limit, sizeof limit), NULL, 10);
    max = max > 0 && max < 1000 ? max : 1000;
    qsort(keys, (size_t)n_keys, sizeof *keys, compare_keys);
    for (int i = 0; i < n_keys; i++) {
        if (strncmp(keys[i].path, prefix, strlen(prefix)) != 0 || strcmp(keys[i].path, from) <= 0)
            continue;
        has_next = json_array_size(rows) == max;
        if (has_next)
            break;
        json_array_append_new(rows, json_pack("{s:s,s:O,s:I}", "path", keys[i].path, "v",
                                              keys[i].value, "key_rev", keys[i].revision));
    }
    return json_pack("{s:o,s:b,s:I}", "rows", rows, "has_next", has_next, "ledger_rev", revision);
}

static void answer_lease(struct rp_request *req) {
    const char *rest = req->target + strlen("/leases");
    if (!*rest) {
        json_t *body = json_loads(req->body, 0, NULL);
        struct kv_lease *lease = leases;
        while (lease->id && lease < leases + LEASES_MAX - 1)
            lease++;
        lease->id = ++last_lease;
        lease->ttl_s = json_number_value(json_object_get(body, "ttl_ms")) / 1000;
        lease->expires_at = world_now() + lease->ttl_s;
        json_decref(body);
        respond(req, 200, json_pack("{s:I}", "lashing", lease->id));
        return;
    }
    struct kv_lease *lease = find_lease(strtoll(rest + 1, NULL, 10));
    if (!lease) {
        respond(req, 404, NULL);
        return;
    }
    if (strcmp(req->method, "DELETE") == 0)
        end_lease(lease);
    else
        lease->expires_at = world_now() + lease->ttl_s;
    respond(req, 200, NULL);
}

static void on_store_request(void *arg, struct rp_request *req) {
    (void)arg;
    if (strcmp(req->target, "/txn") == 0) {
        answer_transaction(req);
    } else if (strncmp(req->target, "/leases", 7) == 0) {
        answer_lease(req);
    } else if (strncmp(req->target, "/follow", 7) == 0) {
        char text[32];
        struct watcher *watcher = calloc(1, sizeof *watcher);
        watcher->req = req;
        parameter(req->target, "prefix=", watcher->prefix, sizeof watcher->prefix);
        watcher->from = strtoll(parameter(req->target, "&from=", text, sizeof text), NULL, 10);
        watcher->until = world_now() +
                         strtod(parameter(req->target, "hold_ms=", text, sizeof text), NULL) / 1000;
        watcher->next = watchers;
        watchers = watcher;
    } else if (strncmp(req->target, "/kv?", 4) == 0) {
        respond(req, 200, list_keys(req->target));
    } else {
        const struct kv_key *key = find_key(req->target + strlen("/kv/"));
        if (key)
            respond(req, 200,
                    json_pack("{s:s,s:O,s:I}", "path", key->path, "v", key->value, "key_rev",
                              key->revision));
        else
            respond(req, 404, json_pack("{s:I}", "ledger_rev", revision));
    }
    serve_watchers();
}

static void store_step(void) {
    for (int i = 0; i < LEASES_MAX; i++)
        if (leases[i].id && world_now() > leases[i].expires_at)
            end_lease(&leases[i]);
    carry_out_late_writes();
    serve_watchers();
}

/* ---- workers ---- */

bool task_is_on_machine(const struct world_machine *machine, const struct world_task *task) {
    return !machine->is_gone && (task->state == TASK_RUNNING || task->state == TASK_FLUSHING);
}

static const char *state_name(enum task_state state) {
    static const char *const names[] = {"fetching", "running", "flushing", "exited"};
    return names[state];
}

static json_t *report_of(struct world_machine *machine) {
    json_t *lifts = json_array();
    for (int i = 0; i < machine->n_tasks; i++) {
        const struct world_task *task = &machine->tasks[i];
        char lift[64];
        snprintf(lift, sizeof lift, "%s/%d", task->job->ref, task->index);
        json_t *entry = json_pack("{s:s,s:I,s:s}", "lift", lift, "pull", task->pull, "tension",
                                  state_name(task->state));
        if (task->why)
            json_object_set_new(entry, "slack_reason", json_string(task->why));
        json_array_append_new(lifts, entry);
    }
    machine->tick++;
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "sheave", machine->name,
                     "address", machine->address, "frame", machine->frame, "yard", machine->yard,
                     "loaners", machine->is_spot, "stint", machine->stint, "tick", machine->tick,
                     "warrant", machine->warrant, "recall_s", "lifts", lifts);
}

static void exit_task(struct world_machine *machine, struct world_task *task, const char *why) {
    task->state = TASK_EXITED;
    task->why = why;
    machine->has_changed = true;
    record("worker %s: task %s/%d exits: %s", machine->name, task->job->ref, task->index, why);
}

static struct world_job *find_job(const char *ref, size_t len) {
    for (int i = 0; i < n_jobs; i++)
        if (strlen(jobs[i].ref) == len && strncmp(jobs[i].ref, ref, len) == 0)
            return &jobs[i];
    return NULL;
}

double free_vcpus(const struct world_machine *machine) {
    double vcpus = machine->vcpus;
    for (int i = 0; i < machine->n_tasks; i++)
        if (machine->tasks[i].state != TASK_EXITED)
            vcpus -= machine->tasks[i].job->vcpus;
    return vcpus;
}

static double free_cards(const struct world_machine *machine) {
    double cards = machine->cards;
    for (int i = 0; i < machine->n_tasks; i++)
        if (machine->tasks[i].state != TASK_EXITED)
            cards -= machine->tasks[i].job->cards;
    return cards;
}

static void run_task(struct world_machine *machine, struct world_job *job, int index,
                     json_int_t pull) {
    bool is_in_use = false;
    for (int i = 0; i < machine->n_tasks; i++) {
        const struct world_task *other = &machine->tasks[i];
        if (other->job != job || other->index != index)
            continue;
        if (other->pull == pull)
            return;
        is_in_use |= other->state != TASK_EXITED;
    }
    if (machine->n_tasks == WORLD_TASKS_MAX)
        return;
    bool has_room =
        free_vcpus(machine) >= job->vcpus - 1e-9 && free_cards(machine) >= job->cards - 1e-9;
    struct world_task *task = &machine->tasks[machine->n_tasks++];
    *task = (struct world_task){
        .job = job, .index = index, .pull = pull, .ready_at = world_now() + options.fetch_s};
    machine->has_changed = true;
    record("worker %s: run %s/%d pull %lld", machine->name, job->ref, index, (long long)pull);
    if (is_in_use)
        exit_task(machine, task, "in_use");
    else if (!has_room)
        exit_task(machine, task, "no_room");
}

static void execute(struct world_machine *machine, const json_t *command) {
    const char *signal_name = json_string_value(json_object_get(command, "signal"));
    const char *lift = json_string_value(json_object_get(command, "lift"));
    json_int_t pull = json_integer_value(json_object_get(command, "pull"));
    const char *slash = strchr(lift, '/');
    struct world_job *job = find_job(lift, (size_t)(slash - lift));
    int index = atoi(slash + 1);
    if (!job)
        return;
    if (strcmp(signal_name, "run") == 0) {
        run_task(machine, job, index, pull);
        return;
    }
    for (int i = 0; i < machine->n_tasks; i++) {
        struct world_task *task = &machine->tasks[i];
        if (task->job != job || task->index != index || task->pull != pull)
            continue;
        if (strcmp(signal_name, "halt") == 0 && task->state != TASK_EXITED)
            exit_task(machine, task, "halted");
        else if (strcmp(signal_name, "forget") == 0 && task->state == TASK_EXITED)
            *task = machine->tasks[--machine->n_tasks];
        return;
    }
}

static void execute_all(struct world_machine *machine, const json_t *body) {
    json_t *command;
    size_t i;
    json_array_foreach(json_object_get(body, "signals"), i, command) {
        execute(machine, command);
    }
}

/* Whether the token is at least the highest one seen, which it then becomes. */
static bool accept_token(struct world_machine *machine, const json_t *body) {
    const json_t *token = json_object_get(body, "warrant");
    if (!json_is_integer(token) || json_integer_value(token) < machine->warrant)
        return false;
    if (json_integer_value(token) > machine->warrant &&
        world_now() - machine->token_change_at >= options.lease_s / 2) {
        machine->token_change_at = world_now();
        machine->has_changed = true;
    }
    machine->warrant = json_integer_value(token);
    return true;
}

struct report {
    struct world_machine *machine;
    unsigned long number;
    json_int_t stint;
};

static void try_next_node(struct world_machine *machine) {
    machine->node = (machine->node + 1) % WORLD_NODES;
    machine->report_at = world_now() + RETRY_S;
}

static void follow_refusal(struct world_machine *machine, int status, const json_t *body) {
    const char *foreman = json_string_value(json_object_get(body, "foreman"));
    for (int i = 0; status == 421 && foreman && i < WORLD_NODES; i++)
        if (i != machine->node && strcmp(nodes[i].name, foreman) == 0) {
            machine->node = i;
            machine->report_at = world_now() + FOREMAN_DELAY_S;
            return;
        }
    try_next_node(machine);
}

static void on_report_answer(void *arg, const struct rp_response *answer) {
    struct report report = *(struct report *)arg;
    struct world_machine *machine = report.machine;
    free(arg);
    if (machine->is_gone || machine->is_cut || report.number != machine->report_number ||
        !machine->is_report_in_flight)
        return;
    machine->is_report_in_flight = false;
    json_t *body = json_loads(answer->body, 0, NULL);
    if (answer->status == 200) {
        machine->report_at =
            machine->sent_at + options.report_s * (0.75 + 0.5 * (double)rand() / RAND_MAX);
        if (report.stint == machine->stint && accept_token(machine, body)) {
            machine->session_since = machine->sent_at;
            execute_all(machine, body);
        }
    } else {
        follow_refusal(machine, answer->status, body);
    }
    json_decref(body);
}

static void send_report(struct world_machine *machine) {
    struct report *report = calloc(1, sizeof *report);
    json_t *body = report_of(machine);
    char *text = json_dumps(body, JSON_COMPACT);
    machine->has_changed = false;
    machine->is_report_in_flight = true;
    machine->sent_at = world_now();
    *report = (struct report){machine, ++machine->report_number, machine->stint};
    record("worker %s -> %s: tick %lld warrant %lld lifts %zu", machine->name,
           nodes[machine->node].name, (long long)machine->tick, (long long)machine->warrant,
           json_array_size(json_object_get(body, "lifts")));
    net.call(net.ctx, nodes[machine->node].client, "POST", "/checkin", text, REPORT_TIMEOUT_S,
             on_report_answer, report);
    json_decref(body);
    free(text);
}

static void step_task(struct world_machine *machine, struct world_task *task) {
    if (task->state == TASK_FETCHING && world_now() >= task->ready_at) {
        if (options.on_task_start)
            options.on_task_start(machine, task);
        task->state = TASK_RUNNING;
        task->running_since = world_now();
        machine->has_changed = true;
        record("worker %s: task %s/%d pull %lld has its image and runs", machine->name,
               task->job->ref, task->index, (long long)task->pull);
    } else if (task->state == TASK_RUNNING && task->job->has_mistake &&
               world_now() >= task->running_since + FAILS_AFTER_S) {
        exit_task(machine, task, "error");
    } else if (task->state == TASK_RUNNING && strcmp(task->job->haul, "service") != 0 &&
               world_now() >= task->running_since + task->job->run_s) {
        exit_task(machine, task, "done");
    }
}

static void step_machine(struct world_machine *machine) {
    double now = world_now();
    if (machine->is_gone || now < machine->boots_at)
        return;
    if (!machine->is_up) {
        machine->is_up = true;
        machine->stint = 1;
        machine->session_since = machine->report_at = now;
        machine->token_change_at = -1e9;
        machine->node = rand() % WORLD_NODES;
        record("worker %s is up", machine->name);
    }
    if (now > machine->session_since + options.lease_s) {
        record("worker %s: lease has ended, %d tasks killed", machine->name, machine->n_tasks);
        machine->n_tasks = 0;
        machine->stint++;
        machine->session_since = now;
    }
    for (int i = 0; i < machine->n_tasks; i++)
        step_task(machine, &machine->tasks[i]);
    if (machine->is_report_in_flight && now > machine->sent_at + REPORT_TIMEOUT_S) {
        machine->is_report_in_flight = false;
        try_next_node(machine);
    }
    bool is_due = now >= machine->report_at ||
                  (machine->has_changed && now >= machine->sent_at + CHANGE_DELAY_S);
    if (!machine->is_report_in_flight && is_due && !machine->is_cut)
        send_report(machine);
}

static void on_machine_request(void *arg, struct rp_request *req) {
    struct world_machine *machine = arg;
    int status = 200;
    if (machine->is_gone || machine->is_cut || !machine->is_up)
        return; /* connections hang */
    if (strcmp(req->target, "/do") == 0) {
        json_t *body = json_loads(req->body, 0, NULL);
        if (json_integer_value(json_object_get(body, "stint")) != machine->stint ||
            !accept_token(machine, body))
            status = 409;
        else
            execute_all(machine, body);
        json_decref(body);
    }
    respond(req, status, report_of(machine));
}

/* ---- the cloud ---- */

static bool has_capacity(const char *frame, const char *yard, bool is_spot) {
    int n = 0;
    if (!options.capacity)
        return true;
    for (int i = 0; i < n_machines; i++)
        n += !machines[i].is_gone && machines[i].is_spot == is_spot &&
             strcmp(machines[i].frame, frame) == 0 && strcmp(machines[i].yard, yard) == 0;
    return n < options.capacity(frame, yard, is_spot);
}

static void set_amounts(struct world_machine *machine, const json_t *catalog) {
    json_t *type;
    size_t i;
    json_array_foreach(json_object_get(catalog, "frames"), i, type) {
        if (strcmp(json_string_value(json_object_get(type, "name")), machine->frame) == 0) {
            machine->vcpus = json_number_value(json_object_get(type, "vcpus"));
            machine->cards = json_number_value(json_object_get(type, "cards"));
        }
    }
}

static json_t *rent(const json_t *body) {
    json_t *names = json_array();
    json_t *catalog = json_loads(options.catalog, 0, NULL);
    int n = (int)json_integer_value(json_object_get(body, "count"));
    const char *frame = json_string_value(json_object_get(body, "frame"));
    const char *yard = json_string_value(json_object_get(body, "yard"));
    bool is_spot = json_is_true(json_object_get(body, "loaners"));
    for (; n > 0 && n_machines < WORLD_MACHINES_MAX && has_capacity(frame, yard, is_spot); n--) {
        struct world_machine *machine = &machines[n_machines];
        snprintf(machine->name, sizeof machine->name, "%s%06d", options.name_prefix,
                 200 + n_machines);
        machine->frame = strdup(frame);
        machine->yard = strdup(yard);
        machine->is_spot = is_spot;
        set_amounts(machine, catalog);
        machine->rented_at = world_now();
        machine->boots_at = world_now() + options.boot_s(n_machines);
        open_server(&machine_servers[n_machines], machine->address, on_machine_request, machine);
        json_array_append_new(names, json_string(machine->name));
        n_machines++;
    }
    json_decref(catalog);
    return names;
}

static json_t *list_machines(const char *target) {
    char from[128];
    json_t *list = json_array();
    parameter(target, "from=", from, sizeof from);
    for (int i = 0; i < n_machines; i++) {
        const struct world_machine *machine = &machines[i];
        if (machine->is_gone || strcmp(machine->name, from) <= 0)
            continue;
        json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "ref", machine->name,
                                              "address", machine->address, "frame", machine->frame,
                                              "yard", machine->yard, "loaners", machine->is_spot,
                                              "tension", machine->is_up ? "running" : "booting",
                                              "age_s", world_now() - machine->rented_at));
    }
    return json_pack("{s:o,s:b}", "sheaves", list, "has_next", false);
}

static void release(const json_t *names) {
    json_t *name;
    size_t i;
    json_array_foreach(names, i, name) {
        for (int k = 0; k < n_machines; k++)
            if (strcmp(machines[k].name, json_string_value(name)) == 0)
                machines[k].is_gone = true;
        record("cloud: %s is deleted", json_string_value(name));
    }
}

static void on_cloud_request(void *arg, struct rp_request *req) {
    json_t *body = json_loads(req->body, 0, NULL);
    (void)arg;
    if (strcmp(req->target, "/catalog") == 0) {
        respond(req, 200, json_loads(options.catalog, 0, NULL));
    } else if (strcmp(req->target, "/machines/release") == 0) {
        release(json_object_get(body, "sheaves"));
        respond(req, 200, NULL);
    } else if (strcmp(req->method, "POST") == 0) {
        const char *hire = json_string_value(json_object_get(body, "hire"));
        json_t *names = json_object_get(hires, hire);
        if (!names) {
            names = rent(body);
            if (json_array_size(names) == 0) {
                record("cloud: request %s: 503, no capacity: %s", hire, req->body);
                json_decref(names);
                respond(req, 503, json_pack("{s:s}", "error", "no capacity"));
                json_decref(body);
                return;
            }
            json_object_set_new(hires, hire, names);
            record("cloud: request %s: %zu machines", hire, json_array_size(names));
        }
        respond(req, 200, json_pack("{s:O}", "sheaves", names));
    } else {
        respond(req, 200, list_machines(req->target));
    }
    json_decref(body);
}

/* ---- users ---- */

struct user_call {
    struct world_job *job;
    int node;
    double sent_at;
};

static struct user_call *user_call(int node, struct world_job *job) {
    struct user_call *call = calloc(1, sizeof *call);
    *call = (struct user_call){job, node, world_now()};
    return call;
}

struct world_job *add_job(const char *ref, const char *haul, int lifts, double vcpus, double run_s,
                          double submit_at, int node) {
    struct world_job *job = &jobs[n_jobs++];
    *job = (struct world_job){.haul = haul,
                              .crew = "platform-crew",
                              .lifts = lifts,
                              .vcpus = vcpus,
                              .run_s = run_s,
                              .submit_at = submit_at,
                              .node = node};
    snprintf(job->ref, sizeof job->ref, "%s", ref);
    return job;
}

static void on_submitted(void *arg, const struct rp_response *answer) {
    struct user_call call = *(struct user_call *)arg;
    struct world_job *job = call.job;
    free(arg);
    record("user: %s submitted to %s: status %d %s", job->ref, nodes[call.node].name,
           answer->status, answer->body);
    if (answer->status == 200 || answer->status == 201) {
        job->is_accepted = true;
        job->accepted_at = world_now();
    } else {
        job->submit_at = world_now() + 1; /* repeated, through another node */
        job->node = (call.node + 1) % WORLD_NODES;
    }
}

static void submit(struct world_job *job) {
    bool is_service = strcmp(job->haul, "service") == 0;
    json_t *frames = job->frame ? json_pack("[s]", job->frame) : json_null();
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o,s:s?,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "ref",
        job->ref, "rig", "mirror-sync-array", "crew", job->crew, "haul", job->haul, "precedence",
        job->precedence ? job->precedence : "low", "lifts", job->lifts, "vcpus", job->vcpus,
        "cards", job->cards, "memory_gb", 3.6, "payload", "img-1", "image_gb", 1.8, "frames",
        frames, "yard", job->yard, "one_zone", 0, "spread", 0, "loaners", 0, "run_guess_s",
        is_service ? 0.0 : job->run_s, "brace_every_s", 0.0, "brace_s", 0.0, "due_s");
    char *text = json_dumps(body, JSON_COMPACT);
    job->submit_at = 1e9;
    net.call(net.ctx, nodes[job->node].client, "POST", "/v1/jobs", text, USER_TIMEOUT_S,
             on_submitted, user_call(job->node, job));
    json_decref(body);
    free(text);
}

static void on_polled(void *arg, const struct rp_response *answer) {
    struct user_call call = *(struct user_call *)arg;
    free(arg);
    json_t *body = json_loads(answer->body, 0, NULL);
    record("user: %s asked at %s: status %d %s", call.job->ref, nodes[call.node].name,
           answer->status, answer->body);
    if (options.on_poll_answer)
        options.on_poll_answer(call.node, call.job, call.sent_at, answer->status, body);
    json_decref(body);
}

void poll_job(int node, struct world_job *job) {
    char target[64];
    snprintf(target, sizeof target, "/v1/jobs/%s", job->ref);
    net.call(net.ctx, nodes[node].client, "GET", target, NULL, POLL_TIMEOUT_S, on_polled,
             user_call(node, job));
}

static void on_cancelled(void *arg, const struct rp_response *answer) {
    struct user_call call = *(struct user_call *)arg;
    free(arg);
    record("user: %s cancelled at %s: status %d %s", call.job->ref, nodes[call.node].name,
           answer->status, answer->body);
    if (answer->status == 200 && strstr(answer->body, "aborted"))
        call.job->cancelled_at = world_now();
}

void cancel_job(int node, struct world_job *job) {
    char target[64];
    snprintf(target, sizeof target, "/v1/jobs/%s/cancel", job->ref);
    net.call(net.ctx, nodes[node].client, "POST", target, "", USER_TIMEOUT_S, on_cancelled,
             user_call(node, job));
}

/* ---- the platform ---- */

struct proxied {
    struct rp_request *req;
};

static void on_proxied(void *arg, const struct rp_response *answer) {
    struct rp_request *req = arg;
    if (answer->status)
        req->respond(req, answer->status, answer->body, 0);
    else
        req->respond(req, 503, "{}", 0);
}

static void on_peer_request(void *arg, struct rp_request *req) {
    struct node *node = arg;
    net.call(net.ctx, node->peer, req->method, req->target, *req->body ? req->body : NULL, 3,
             on_proxied, req);
}

void peers_refuse(bool is_refused) {
    for (int i = 0; i < WORLD_NODES; i++) {
        struct node *node = &nodes[i];
        if (is_refused && node->is_proxy_open)
            rp_http_server_close(&node->proxy);
        else if (!is_refused && !node->is_proxy_open &&
                 rp_http_server_open(&node->proxy, &loop, node->peer_proxy, &server_limits,
                                     on_peer_request, node) < 0)
            continue;
        node->is_proxy_open = !is_refused;
    }
    record("connections between the controllers are %s", is_refused ? "refused" : "possible");
}

static bool write_settings(int index) {
    struct node *node = &nodes[index];
    json_t *seeds = json_array();
    for (int i = 0; i < WORLD_NODES; i++)
        if (i != index)
            json_array_append_new(seeds,
                                  json_pack("{s:s,s:s,s:s}", "node_name", nodes[i].name, "location",
                                            "tarawera", "addr", nodes[i].peer_proxy));
    json_t *settings = json_pack(
        "{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:{s:i,s:o,s:o,s:o,s:{s:f,s:f,s:f,s:f,s:f},s:o,s:{s:f,s:"
        "f},s:{s:f,s:f,s:i},s:f}}",
        "node_name", node->name, "location", "tarawera", "client_listen", node->client,
        "peer_listen", node->peer, "seeds", seeds, "external", "cloud", cloud_address, "state",
        store_address, "params", "nodes", WORLD_NODES, "zones", json_loads(options.zones, 0, NULL),
        "teams", json_loads(options.teams, 0, NULL), "objectives",
        json_loads(options.objectives, 0, NULL), "workers", "report_s", options.report_s, "lease_s",
        options.lease_s, "gang_wait_s", 40.0, "gang_peer_s", 5.0, "cancel_s", options.cancel_s,
        "state", json_loads(options.state, 0, NULL), "cloud", "rps", 5.0, "list_lag_s", 3.0,
        "machine_limits", "cpu_share", 0.16, "mem_mb", 56.0, "max_connections", 800, "skew_ms",
        25.0);
    int rc = settings ? json_dump_file(settings, node->settings, JSON_INDENT(1)) : -1;
    json_decref(settings);
    return rc == 0;
}

void node_start(int index) {
    struct node *node = &nodes[index];
    node->pid = fork();
    if (node->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* no process outlives the case */
        int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDERR_FILENO);
        execl("target/ridgepulley", "target/ridgepulley", "--config", node->settings, (char *)NULL);
        _exit(127);
    }
    record("platform: %s is started, process %d", node->name, (int)node->pid);
}

void node_kill(int index) {
    struct node *node = &nodes[index];
    if (node->pid <= 0)
        return;
    kill(node->pid, SIGKILL);
    while (waitpid(node->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    record("platform: %s is killed, process %d", node->name, (int)node->pid);
    node->pid = 0;
}

bool node_is_running(int index) {
    return nodes[index].pid > 0 && waitpid(nodes[index].pid, NULL, WNOHANG) == 0;
}

/* ---- the run ---- */

void world_end(int code) {
    exit_code = code;
    rp_loop_stop(&loop);
}

static void on_step_timer(void *arg) {
    (void)arg;
    rp_timer_set(&loop, &step_timer, STEP_S);
    store_step();
    for (int i = 0; i < n_machines; i++)
        step_machine(&machines[i]);
    for (int i = 0; i < n_jobs; i++)
        if (!jobs[i].is_accepted && world_now() >= jobs[i].submit_at)
            submit(&jobs[i]);
    if (options.on_step)
        options.on_step();
    if (world_now() > options.duration_s)
        rp_loop_stop(&loop);
}

static bool set_up(void) {
    clock_gettime(CLOCK_MONOTONIC, &started_at);
    srand((unsigned)getpid());
    signal(SIGPIPE, SIG_IGN);
    record_file = fopen(options.record_path, "w");
    snprintf(directory, sizeof directory, "/tmp/review-2-%s-XXXXXX", options.name);
    if (!record_file || !mkdtemp(directory) || rp_loop_init(&loop, false) < 0)
        return false;
    /* Below the ports that the kernel gives to outgoing connections. */
    next_port = 10000 + (int)(getpid() * 101 % 20000);
    change_log = json_array();
    hires = json_object();
    rp_http_client_init(&client, &loop, 200, 600, 1 << 20);
    net = rp_http_client_net(&client);
    open_server(&store_server, store_address, on_store_request, NULL);
    open_server(&cloud_server, cloud_address, on_cloud_request, NULL);
    for (int i = 0; i < WORLD_NODES; i++) {
        struct node *node = &nodes[i];
        snprintf(node->name, sizeof node->name, "sheave-%d", i);
        free_address(node->client);
        free_address(node->peer);
        open_server(&node->proxy, node->peer_proxy, on_peer_request, node);
        node->is_proxy_open = true;
        snprintf(node->settings, sizeof node->settings, "%s/%s.json", directory, node->name);
        snprintf(node->log, sizeof node->log, "%s/%s.log", directory, node->name);
    }
    for (int i = 0; i < WORLD_NODES; i++)
        if (!write_settings(i))
            return false;
    return access("target/ridgepulley", X_OK) == 0;
}

static void remove_files(void) {
    for (int i = 0; i < WORLD_NODES; i++) {
        unlink(nodes[i].settings);
        if (!getenv("KEEP"))
            unlink(nodes[i].log);
    }
    rmdir(directory);
}

int world_run(void) {
    if (!set_up()) {
        fprintf(stderr, "the case cannot run: %s\n", strerror(errno));
        return 2;
    }
    for (int i = 0; i < WORLD_NODES; i++)
        node_start(i);
    step_timer = (struct rp_timer){.fn = on_step_timer};
    rp_timer_set(&loop, &step_timer, 0);
    rp_loop_run(&loop);
    for (int i = 0; i < WORLD_NODES; i++)
        node_kill(i);
    record("end: code %d", exit_code);
    fclose(record_file);
    remove_files();
    return exit_code;
}
