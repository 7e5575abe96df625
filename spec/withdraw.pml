/*
 * Withdrawal of a key with freshness grants, when the home failure domain is
 * partitioned and instances restart.
 *
 * There are two instances: instance 1 is in a home failure domain of the key's
 * workspace, instance 0 is not. Both may be partitioned. An instance accepts the
 * key if it has not learned of the withdrawal and is either in the home failure
 * domain or holds a freshness grant that has not expired. The operator receives
 * "complete" only when neither instance can accept the key.
 *
 * Guards, removed by -D:
 *   NO_HOME_CONFIRM     "complete" does not wait for the confirmation of the home
 *                       instance
 *   FROM_RECEIPT        freshness runs from the receipt of the answer
 *   NO_NEW_LEADER_WAIT  a new leader takes only its own grants into account, not
 *                       those of earlier leaders
 *   NO_QUORUM_READ      a restarted instance serves with its old configuration
 */
#define FRESH 2

bit withdrawn = 0;
bit complete = 0;
bit knows[2];
byte fresh[2];       /* remaining ticks of freshness at the instance */
byte granted[2];     /* remaining ticks of freshness that the leader has granted */
bit confirmed[2];    /* the instance has confirmed the withdrawal to the leader */
bit asked[2];        /* a heartbeat is pending */
byte age[2];         /* ticks since the heartbeat was sent */
bit answered[2];     /* the leader has answered the heartbeat */
bit answer[2];       /* whether the answer carries the withdrawal */
bit ready[2];        /* a leader has answered since the instance started */
byte earlier = 0;    /* remaining ticks that a new leader waits for grants of earlier leaders */
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

/* Unless NO_QUORUM_READ is defined, a restarted instance is not ready before a
 * leader that holds its lease has answered it, and that answer carries the
 * withdrawal. A home instance that has confirmed the withdrawal and then restarts
 * can therefore not serve with an older state. */

active proctype system() {
    byte i;
    do
    :: atomic {
        if :: i = 0 :: i = 1 fi;
        if
        :: tick()
        :: !withdrawn -> withdrawn = 1
        :: !asked[i] -> asked[i] = 1; age[i] = 0; answered[i] = 0
        :: asked[i] && !answered[i] -> /* the leader answers and grants freshness */
            answered[i] = 1; answer[i] = withdrawn; granted[i] = FRESH;
            if :: knows[i] -> confirmed[i] = 1 :: else fi
        :: asked[i] && answered[i] -> receive(i)
        :: asked[i] -> asked[i] = 0; answered[i] = 0; age[i] = 0; answer[i] = 0 /* heartbeat or answer lost */
        :: restart(i)
        :: changes < 1 -> /* a new leader, which does not know earlier grants */
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
