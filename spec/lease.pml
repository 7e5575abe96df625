/*
 * Election, lease and restart of three voters, on a clock of whole ticks.
 *
 * A leader's lease runs for LEASE ticks from when it sent the heartbeat that a
 * quorum acknowledged. A voter that acknowledges a heartbeat withholds its vote
 * from others for PROMISE ticks (the minimum election timeout). A restart loses
 * that commitment, so a restarted voter holds off for PROMISE ticks: it neither
 * votes nor campaigns. The hold-off may end early once every voter has restarted
 * with its term or a later one: the leader of the term in which it acknowledged
 * the heartbeat has then lost its lease with its process.
 *
 * Guards, removed by -D:
 *   NO_QUIET        a restarted voter votes at once
 *   QUORUM_ENDS     restarts of a quorum end the hold-off
 *   ANY_TERM_ENDS   restarts with any term end the hold-off
 *   FROM_RECEIPT    the lease runs from the receipt of the acknowledgement
 */
#define N 3
#define TERMS 3
#define LEASE 2
#define PROMISE 3
#define NOBODY 9

byte term[N];       /* stored: survives a restart */
byte vote[N];       /* stored: the candidate this voter voted for in its term */
byte promise[N];    /* ticks for which this voter still withholds its vote */
byte resumed[N];    /* term at the last restart */
bit quiet[N];       /* promise[] is the hold-off after a restart */
byte leads[N];      /* term that this voter leads, or 0 */
byte lease[N];      /* remaining ticks of the lease */
byte age[N];        /* ticks since the pending heartbeat was sent */
byte acks[N];       /* voters that acknowledged the pending heartbeat, a bit mask */
bit beating[N];     /* a heartbeat is pending */
byte granted[N];    /* votes for the current candidacy, a bit mask */
bit asking[N];      /* this voter is a candidate */

#define bitOf(i) (1 << (i))
#define quorum(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)
#define down(x) if :: x > 0 -> x-- :: else fi

inline forget(i) {
    leads[i] = 0; lease[i] = 0; beating[i] = 0; acks[i] = 0; age[i] = 0;
    asking[i] = 0; granted[i] = 0
}

inline restart(i) {
    forget(i);
#ifdef NO_QUIET
    promise[i] = 0
#else
    promise[i] = PROMISE
#endif
    resumed[i] = term[i];
    quiet[i] = 1
}

#define told(i, k) ((k) == (i) || resumed[k] >= resumed[i])
#ifdef QUORUM_ENDS
#define ends(i) (told(i, ((i) + 1) % N) || told(i, ((i) + 2) % N))
#else
#ifdef ANY_TERM_ENDS
#define ends(i) (quiet[0] && quiet[1] && quiet[2])
#else
#define ends(i) (told(i, 0) && told(i, 1) && told(i, 2))
#endif
#endif

inline tick() {
    byte k = 0;
    do
    :: k < N ->
        down(promise[k]);
        down(lease[k]);
        if
        :: beating[k] && age[k] < PROMISE -> age[k]++
        :: beating[k] && age[k] >= PROMISE -> beating[k] = 0; acks[k] = 0; age[k] = 0
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0
}

inline campaign(i) {
    forget(i);
    term[i]++;
    vote[i] = i;
    asking[i] = 1;
    granted[i] = bitOf(i)
}

inline giveVote(i, j) { /* j votes for i */
    if
    :: term[i] > term[j] -> term[j] = term[i]; vote[j] = NOBODY; forget(j)
    :: else
    fi;
    if
    :: vote[j] == NOBODY || vote[j] == i -> vote[j] = i; granted[i] = granted[i] | bitOf(j)
    :: else
    fi
}

inline lead(i) {
    asking[i] = 0;
    granted[i] = 0;
    leads[i] = term[i]
}

inline beat(i) {
    beating[i] = 1;
    age[i] = 0;
    acks[i] = bitOf(i)
}

inline acknowledge(i, j) { /* j acknowledges i's heartbeat */
    if
    :: term[j] < term[i] -> term[j] = term[i]; vote[j] = NOBODY
    :: else
    fi;
    forget(j);
    quiet[j] = 0;
    promise[j] = PROMISE;
    acks[i] = acks[i] | bitOf(j)
}

inline collect(i) { /* the leader receives the quorum's acknowledgements */
#ifdef FROM_RECEIPT
    lease[i] = LEASE;
#else
    if
    :: age[i] < LEASE -> if :: lease[i] < LEASE - age[i] -> lease[i] = LEASE - age[i] :: else fi
    :: else
    fi;
#endif
    beating[i] = 0; acks[i] = 0; age[i] = 0;
    /* the leader withholds its own vote while it holds a lease */
    if :: promise[i] < lease[i] -> promise[i] = lease[i] :: else fi
}

active proctype voters() {
    byte i, j;
    atomic { i = 0; do :: i < N -> vote[i] = NOBODY; promise[i] = 0; i++ :: else -> break od; i = 0 }
    do
    :: atomic {
        if :: i = 0 :: i = 1 :: i = 2 fi;
        if :: j = 0 :: j = 1 :: j = 2 fi;
        if
        :: tick()
        :: restart(i)
        :: quiet[i] && ends(i) -> promise[i] = 0; quiet[i] = 0
        :: promise[i] == 0 && leads[i] == 0 && term[i] < TERMS -> campaign(i)
        :: i != j && asking[i] && promise[j] == 0 && term[j] <= term[i] -> giveVote(i, j)
        :: asking[i] && quorum(granted[i]) -> lead(i)
        :: leads[i] > 0 && !beating[i] -> beat(i)
        :: i != j && leads[i] > 0 && beating[i] && term[j] <= term[i] -> acknowledge(i, j)
        :: leads[i] > 0 && beating[i] && quorum(acks[i]) -> collect(i)
        fi;
        assert(!(lease[0] > 0 && lease[1] > 0));
        assert(!(lease[0] > 0 && lease[2] > 0));
        assert(!(lease[1] > 0 && lease[2] > 0));
        i = 0; j = 0
       }
    od
}
