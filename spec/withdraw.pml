/*
 * Withdrawal of a key, freshness, a cut-off home failure domain and a restart.
 *
 * Two instances: 0 is at no home of the key's workspace, 1 is at its home. Both
 * may be cut off. An instance serves the key if it does not know the withdrawal
 * and either was granted freshness that has not run out, or is at home. The
 * operator hears "complete" only when neither can serve.
 *
 * Guards, removed by -D:
 *   NO_HOME_CONFIRM   complete does not wait for the home's confirmation
 *   FROM_RECEIPT      freshness runs from the receipt of the answer
 *   NO_NEW_LEADER_WAIT  a new leader trusts only what it granted itself
 *   NO_QUORUM_READ    a restarted instance serves by its old configuration
 */
#define FRESH 2

bit withdrawn = 0;
bit complete = 0;
bit knows[2];
byte fresh[2];       /* ticks of freshness left at the instance */
byte granted[2];     /* ticks of freshness the leader has granted */
bit confirmed[2];    /* the leader heard that the instance knows */
bit asked[2];        /* a heartbeat is open */
byte age[2];         /* ticks since it was sent */
bit answered[2];     /* the leader has answered it */
bit answer[2];       /* whether the answer carries the withdrawal */
bit ready[2];        /* a leader has answered since the start */
byte earlier = 0;    /* ticks that a new leader waits for earlier grants */
byte changes = 0;

#define serves(i) (ready[i] && !knows[i] && (fresh[i] > 0 || i == 1))
#ifdef NO_HOME_CONFIRM
#define homeDone 1
#else
#define homeDone confirmed[1]
#endif
#define down(x) if :: x > 0 -> x-- :: else fi

inline tick() {
    byte k = 0;
    do
    :: k < 2 ->
        down(fresh[k]);
        down(granted[k]);
        if
        :: asked[k] && age[k] < FRESH + 1 -> age[k]++
        :: asked[k] && age[k] > FRESH -> asked[k] = 0; answered[k] = 0; age[k] = 0
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0;
    down(earlier)
}

inline receive(i) {
    if :: answer[i] -> knows[i] = 1 :: else fi;
    ready[i] = 1;
#ifdef FROM_RECEIPT
    fresh[i] = FRESH;
#else
    if
    :: age[i] < FRESH && fresh[i] < FRESH - age[i] -> fresh[i] = FRESH - age[i]
    :: else
    fi;
#endif
    asked[i] = 0; answered[i] = 0; age[i] = 0; answer[i] = 0
}

inline restart(i) {
    knows[i] = 0; fresh[i] = 0; asked[i] = 0; answered[i] = 0; age[i] = 0; answer[i] = 0;
#ifdef NO_QUORUM_READ
    ready[i] = 1
#else
    ready[i] = 0
#endif
}

/* With the guard, a restarted instance is not ready before a leader under its
 * lease has answered it, and that answer carries the withdrawal. A home that
 * has confirmed and restarts can therefore not serve by an older state. */

active proctype system() {
    byte i;
    do
    :: atomic {
        if :: i = 0 :: i = 1 fi;
        if
        :: tick()
        :: !withdrawn -> withdrawn = 1
        :: !asked[i] -> asked[i] = 1; age[i] = 0; answered[i] = 0
        :: asked[i] && !answered[i] -> /* the leader answers and grants */
            answered[i] = 1; answer[i] = withdrawn; granted[i] = FRESH;
            if :: knows[i] -> confirmed[i] = 1 :: else fi
        :: asked[i] && answered[i] -> receive(i)
        :: asked[i] -> asked[i] = 0; answered[i] = 0; age[i] = 0; answer[i] = 0 /* lost */
        :: restart(i)
        :: changes < 1 -> /* another leader, which knows no grants */
            changes++; granted[0] = 0; granted[1] = 0; confirmed[0] = 0; confirmed[1] = 0;
            answered[0] = 0; answered[1] = 0; asked[0] = 0; asked[1] = 0; age[0] = 0; age[1] = 0;
#ifndef NO_NEW_LEADER_WAIT
            earlier = FRESH
#endif
        :: withdrawn && !complete && earlier == 0 && (confirmed[0] || granted[0] == 0) && homeDone -> complete = 1
        fi;
        assert(!(complete && serves(0)));
        assert(!(complete && serves(1)));
        i = 0
       }
    od
}
