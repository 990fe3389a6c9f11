#include "cluster/image_index.h"

#include <stdlib.h>
#include <string.h>
#include "protocol/codec.h"

/* Time between two requests for the leader's index. */
#define COPY_INTERVAL_S 8.0
/* How long a node waits for the response to a request for an index. */
#define RESPONSE_TIMEOUT_S 1.5
/* Largest number of images in a served index, over all machines; the most recently used images of
 * each machine are sent. The index is then about 2 MB of text. */
#define IMAGES_SENT_MAX 65536
/* Number of each machine's images that a served index may contain even if the total then exceeds
 * IMAGES_SENT_MAX. */
#define IMAGES_PER_MACHINE_MIN 4

static void on_copy_timer(void *arg);

void rp_image_index_init(struct rp_image_index *index, struct rp_loop *loop, struct rp_net net,
                         struct rp_election *election, struct rp_cluster *cluster,
                         const struct rp_settings *settings) {
    *index = (struct rp_image_index){.loop = loop,
                                     .net = net,
                                     .election = election,
                                     .cluster = cluster,
                                     .settings = settings,
                                     .timer = {.fn = on_copy_timer, .arg = index}};
}

void rp_image_index_start(struct rp_image_index *index) {
    rp_timer_set(index->loop, &index->timer, COPY_INTERVAL_S);
}

void rp_image_index_close(struct rp_image_index *index) {
    rp_timer_cancel(index->loop, &index->timer);
    json_decref(index->copied_images);
    index->copied_images = NULL;
}

static bool is_leading(const struct rp_image_index *index) {
    return index->election->state == RP_ELECTION_HOLDING_KEY;
}

/* ---- serving the index ---- */

static int compare_by_use(const void *a, const void *b) {
    return rp_ts_cmp(((const struct rp_image *)a)->used_at, ((const struct rp_image *)b)->used_at);
}

static size_t images_per_machine(const struct rp_cluster *cluster) {
    size_t n = IMAGES_SENT_MAX / (cluster->n_machines + 1);
    return n > IMAGES_PER_MACHINE_MIN ? n : IMAGES_PER_MACHINE_MIN;
}

/* Builds the list [hash, GB, ...] of the machine's `n_max` most recently used images. Sorts the
 * machine's images by the time of their last use. */
static json_t *build_image_list(struct rp_machine *machine, size_t n_max) {
    json_t *list = json_array();
    qsort(machine->images, machine->n_images, sizeof *machine->images, compare_by_use);
    size_t first = machine->n_images > n_max ? machine->n_images - n_max : 0;
    for (size_t i = first; i < machine->n_images; i++) {
        json_array_append_new(list, json_integer((json_int_t)machine->images[i].hash));
        json_array_append_new(list, json_real(machine->images[i].gb));
    }
    return list;
}

static json_t *build_index(struct rp_cluster *cluster) {
    json_t *images = json_object();
    size_t n_max = images_per_machine(cluster);
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (machine->n_images > 0)
            json_object_set_new(images, machine->name, build_image_list(machine, n_max));
    return images;
}

char *rp_image_index_json(const struct rp_image_index *index) {
    /* A leader that is still loading its records has no machines yet and serves copied_images. */
    bool has_own = is_leading(index) && index->cluster->n_machines > 0;
    json_t *images = has_own ? build_index(index->cluster) : json_incref(index->copied_images);
    json_t *value = json_pack("{s:o*}", "images", images);
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

/* ---- copying the index ---- */

/* Adds the images of a copy to a machine, except for images that are already recorded for the
 * machine. */
static void add_images(struct rp_cluster *cluster, struct rp_machine *machine, json_t *list) {
    for (size_t i = 0; i + 1 < json_array_size(list); i += 2) {
        uint64_t hash = (uint64_t)json_integer_value(json_array_get(list, i));
        double gb = json_number_value(json_array_get(list, i + 1));
        if (!rp_machine_has_image(machine, hash))
            rp_machine_record_image(cluster, machine, hash, gb);
    }
}

static void add_to_cluster(struct rp_cluster *cluster, json_t *images) {
    const char *name;
    json_t *list;
    json_object_foreach(images, name, list) {
        struct rp_machine *machine = rp_machine_find(cluster, name);
        /* The size of the disk is known only if the machine's type is. */
        if (machine && machine->type >= 0)
            add_images(cluster, machine, list);
    }
}

static void on_images(void *arg, const struct rp_response *answer) {
    struct rp_image_index *index = arg;
    json_t *value = answer->status == 200 ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    json_t *images = json_object_get(value, "images");
    if (json_object_size(images) > 0) {
        if (is_leading(index))
            add_to_cluster(index->cluster, images);
        json_decref(index->copied_images);
        index->copied_images = json_incref(images);
    }
    json_decref(value);
}

static void request_images(struct rp_image_index *index, const struct rp_peer *peer) {
    index->net.call(index->net.ctx, peer->addr, "GET", RP_PATH_IMAGES, NULL, RESPONSE_TIMEOUT_S,
                    on_images, index);
}

void rp_image_index_restore(struct rp_image_index *index) {
    add_to_cluster(index->cluster, index->copied_images);
    for (size_t i = 0; i < index->settings->n_peers; i++)
        request_images(index, &index->settings->peers[i]);
}

static void on_copy_timer(void *arg) {
    struct rp_image_index *index = arg;
    rp_timer_set(index->loop, &index->timer, COPY_INTERVAL_S);
    const char *leader = rp_election_leader(index->election, rp_loop_now(index->loop));
    for (size_t i = 0; leader && i < index->settings->n_peers; i++)
        if (strcmp(index->settings->peers[i].name, leader) == 0)
            request_images(index, &index->settings->peers[i]);
}
