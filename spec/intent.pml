/*
 * Intents, their release, and a target that ignores fencing tokens.
 *
 * Two processes may each believe that they are the leader. A different order
 * opens only when the last one is done and no process can still have it in
 * flight. A process may pause for any time between its lease check and its write.
 * A write that was sent has reached the target.
 *
 * Guards, removed by -D:
 *   NO_RELEASE   a different order does not wait for the release of the last
 *                order's issuers
 * Variant:
 *   FENCED       the target rejects writes of an older epoch; no release is needed
 */
#define ORDERS 4
#define EPOCHS 4

byte leader = 0;
byte epoch = 1;
byte current = 0;    /* number of the last opened order */
bit done = 1;
byte issuers = 0;    /* processes that may have it in flight, a bit mask */
byte sending[2];     /* order that passed the lease check and is about to be written, or 0 */
byte sendEpoch[2];
byte closing[2];     /* order answered by the target but not yet committed as done, or 0 */
byte applied = 0;    /* last order that the target applied */
byte seen = 0;       /* highest epoch that the target has received */

#define bitOf(i) (1 << (i))
#ifdef NO_RELEASE
#define released 1
#else
#ifdef FENCED
#define released 1
#else
#define released (issuers == 0)
#endif
#endif

inline drop(i) { issuers = issuers & (3 - bitOf(i)) }

inline write(i) {
#ifdef FENCED
    if
    :: sendEpoch[i] >= seen ->
        seen = sendEpoch[i];
        assert(sending[i] >= applied);
        applied = sending[i]
    :: else
    fi;
#else
    assert(sending[i] >= applied);
    applied = sending[i];
#endif
    closing[i] = sending[i];
    sending[i] = 0
}

active proctype system() {
    byte i;
    do
    :: atomic {
        if :: i = 0 :: i = 1 fi;
        if
        :: epoch < EPOCHS -> leader = 1 - leader; epoch++
        :: leader == i && done && current < ORDERS && released -> current++; done = 0; issuers = bitOf(i)
        :: leader == i && !done && !(issuers & bitOf(i)) -> issuers = issuers | bitOf(i)
        :: leader == i && !done && (issuers & bitOf(i)) && sending[i] == 0 && closing[i] == 0 ->
            sending[i] = current; sendEpoch[i] = epoch
        :: sending[i] > 0 -> write(i)
        :: closing[i] > 0 ->
            if
            :: closing[i] == current -> done = 1; drop(i)
            :: else
            fi;
            closing[i] = 0
        :: (sending[i] > 0 || closing[i] > 0) -> /* crash and restart at the same address */
            sending[i] = 0; closing[i] = 0; drop(i)
        fi;
        i = 0
       }
    od
}
