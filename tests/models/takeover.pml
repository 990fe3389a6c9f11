/* A takeover by a standby (src/election.c, src/standby/), for the model checker spin. tests/models/run
 * checks it, and shows that the faults planted by NO_FENCE, NO_CLEAR and NO_OWN_MEMORY are found.
 *
 * One machine and one task. Node 0 leads at first; node 1 takes over, ends and comes back at any moment,
 * and goes by what the leader's key in the state service says. Time is counted in ticks that only the clock process makes; a node may stand
 * still between any two of its steps, for any time. Lengths in ticks:
 * a leader trusts its lease for TTL after a renewal was sent, a worker's task lives for LEASE after the
 * last answer that the worker took. The machine M is unreachable for direct commands of the new leader:
 * it has to wait. The task must never run on M while another leader starts it elsewhere. */
#define TTL 2
#define LEASE 1
#define NODES 2
#define NOBODY 9
#define TICKS 4
#define VERSIONS 4 /* writes of the key */

byte now = 0;

/* The state service: the key, and each node's lease, which ends by time or by a takeover. */
byte key_holder = 0; /* whose name the key says; NOBODY: it is gone */
byte key_version = 1;
bool key_leased = true; /* it goes with its holder's lease */
byte deposed_in_key = NOBODY; /* whose lease the holder has to end */
bool lease_alive[NODES];
byte lease_until[NODES];

/* The machine M, on which the first leader has started the task. */
byte task_until; /* it lives at `now` <= this */
bool started_elsewhere = false;

/* What each node believes. */
bool leads[NODES];
bool first_term[NODES]; /* the one that has started the task on M */
byte trust_until[NODES];
byte cleared_at[NODES];
byte held_until[NODES];

/* Lease n is over: the key goes if it is attached to it. */
inline end_lease(n) {
    lease_alive[n] = false;
    key_version = (key_holder == n && key_leased -> key_version + 1 : key_version);
    key_holder = (key_holder == n && key_leased -> NOBODY : key_holder)
}

inline expire_one(n) {
    key_version = (lease_alive[n] && now > lease_until[n] && key_holder == n && key_leased ->
                   key_version + 1 : key_version);
    key_holder = (lease_alive[n] && now > lease_until[n] && key_holder == n && key_leased ->
                  NOBODY : key_holder);
    lease_alive[n] = lease_alive[n] && now <= lease_until[n]
}

/* Ends leases whose time is over; part of every step that looks at the service. */
inline expire() {
    expire_one(0);
    expire_one(1)
}

active proctype clock() {
    do
    :: now < TICKS -> now++
    :: now >= TICKS -> break
    od
}

/* One node. An end of its process loses everything but what the state service holds. */
proctype node(byte me) {
    byte sent, over, deposed, holder;
    bool alive;

again:
    /* What isn't needed any more would only make more states. */
    atomic { sent = 0; over = 0; deposed = 0; holder = 0; alive = false };
    do
    :: now >= TICKS -> goto done

    /* Leading: renew the lease. The request is carried out at one moment, answered at a later one. */
    :: leads[me] ->
       sent = now;
       atomic {
           expire();
           alive = lease_alive[me];
           lease_until[me] = (alive -> now + TTL : lease_until[me])
       };
       if
       :: atomic { alive && leads[me] ->
              trust_until[me] = (trust_until[me] < sent + TTL -> sent + TTL : trust_until[me]) }
       :: !alive -> leads[me] = false
       :: true /* no answer */
       fi;
       goto again

    /* Leading: answer the worker of M. Whether it may is asked just before. */
    :: atomic {
           leads[me] && now < trust_until[me] ->
           /* A lease that has ended stays so. */
           task_until = (now <= task_until -> now + LEASE : task_until);
           held_until[me] = (held_until[me] > now + LEASE -> held_until[me] : now + LEASE)
       }

    /* Leading: M can't have the task any more, so it is started elsewhere. */
    :: atomic {
           leads[me] && now < trust_until[me] && now > held_until[me] && !first_term[me] &&
           !started_elsewhere ->
           assert(now > task_until);
           started_elsewhere = true
       }

    /* The process ends, at any moment, and is back at once. */
    :: atomic { leads[me] -> leads[me] = false }

    /* Not leading: look at the key. (Node 0 is the first leader, and nothing else.) */
    :: me == 1 && !leads[me] && key_version < VERSIONS ->
       atomic {
           expire();
           holder = key_holder;
           over = key_version;
           deposed = (key_leased -> holder : deposed_in_key)
       };
       if
       :: holder == NOBODY -> deposed = NOBODY; goto lease
       :: holder == me ->
#ifdef NO_OWN_MEMORY
          deposed = NOBODY;
#else
          deposed = deposed_in_key;
#endif
          if
          :: deposed != NOBODY -> goto fence
          :: deposed == NOBODY -> goto lease
          fi
       :: holder != NOBODY && holder != me && deposed != NOBODY ->
          /* The other one is thought to be gone: the key is written over its own, if it still is. */
          atomic {
              expire();
              if
              :: key_version == over ->
                 key_holder = me;
                 key_version++;
                 key_leased = false;
                 deposed_in_key = deposed;
                 over = key_version
              :: key_version != over -> goto again
              fi
          };
          goto fence
       :: holder != NOBODY && holder != me -> goto again /* it is thought to be well */
       fi
    od;

fence:
    if
    :: goto again /* the process ends here, or the request gets lost */
    :: true
    fi;
#ifndef NO_FENCE
    atomic {
        expire();
        end_lease(deposed)
    };
#endif
    cleared_at[me] = now + TTL;

lease:
    if
    :: goto again
    :: true
    fi;
    cleared_at[me] = (deposed == NOBODY -> 0 : cleared_at[me]);
    sent = now;
    atomic {
        expire();
        lease_alive[me] = true;
        lease_until[me] = now + TTL
    };
    if
    :: goto again
    :: true
    fi;
    atomic {
        expire();
        if
        :: lease_alive[me] && key_version == over ->
           key_holder = me;
           key_version++;
           key_leased = true;
           deposed_in_key = deposed;
           first_term[me] = false
        :: !(lease_alive[me] && key_version == over) -> goto again
        fi
    };
    /* The answer to the claim; the end of the process before it is the one above, in the next look. */
    atomic {
        leads[me] = true;
        trust_until[me] = sent + TTL;
#ifdef NO_CLEAR
        held_until[me] = now + LEASE
#else
        held_until[me] = (cleared_at[me] > now -> cleared_at[me] : now) + LEASE
#endif
    };
    goto again;

done:
    skip
}

init {
    atomic {
        lease_alive[0] = true;
        lease_until[0] = TTL;
        leads[0] = true;
        first_term[0] = true;
        trust_until[0] = TTL;
        held_until[0] = LEASE;
        task_until = LEASE;
        run node(0);
        run node(1)
    }
}
