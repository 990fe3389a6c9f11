/** @file
 * Makes the stored record of an accepted submission. The store limits the size of a value: a record
 * that is too large is made shorter without a change of its meaning, or cut into parts that are
 * written in the same transaction. */
#ifndef RP_API_SUBMISSION_RECORD_H
#define RP_API_SUBMISSION_RECORD_H

#include "model/catalog.h"
#include "store/records.h"
#include "upgrade/format_upgrade.h"

/** The pieces in which a record is written; mostly one piece. */
struct rp_submission_pieces {
    json_t *values[RP_PARTS_MAX]; /* the job record first, then its further parts; owned by the code
                                     that writes them */
    size_t n;                     /* 0: no transaction can hold the record */
};

/** Makes the record of a job that is accepted now, in pieces of at most `value_max_bytes` and no
 * more pieces than a transaction may have. Before the format is activated no node reads parts, so a
 * record too large for one value gets no pieces. Machine types that no machine has may be removed
 * from `spec`. */
void rp_submission_record(const struct rp_upgrade *upgrade, const struct rp_catalog *catalog,
                          struct rp_job_spec *spec, size_t value_max_bytes,
                          struct rp_submission_pieces *out);
/** The maximum size of a value in bytes. Until every node supports the format it is the store's
 * limit of today; afterwards it is the limit that fits today's limits and those to come. */
size_t rp_submission_value_max_bytes(const struct rp_upgrade *upgrade);

#endif
