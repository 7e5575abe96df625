/*
 * Replacement of a voter, and a second failure right after it.
 *
 * Voters 0, 1 and 2 hold every committed entry. One of them fails permanently.
 * Replica 3, the replacement, starts with an empty log, may not even run, and
 * catches up as a learner. After the change is accepted, one more process may
 * fail. A quorum of the new voter set must then still be alive, and one of its
 * live voters must hold the committed entries.
 *
 * Guard, removed by -D:
 *   NO_CATCH_UP   the replacement becomes a voter before it has caught up
 */
bit alive[4];
bit holds[4];
bit voter[4];
bit accepted = 0;
byte failures = 0;

#ifdef NO_CATCH_UP
#define caughtUp 1
#else
#define caughtUp (alive[3] && holds[3])
#endif
#define live(i) (voter[i] && alive[i])

active proctype system() {
    byte i;
    byte count;
    atomic {
        alive[0] = 1; alive[1] = 1; alive[2] = 1;
        holds[0] = 1; holds[1] = 1; holds[2] = 1;
        voter[0] = 1; voter[1] = 1; voter[2] = 1
    }
    do
    :: atomic {
        if :: i = 0 :: i = 1 :: i = 2 :: i = 3 fi;
        if
        :: !accepted && failures == 0 && i < 3 -> alive[i] = 0; failures = 1
        :: !alive[3] && !accepted -> alive[3] = 1
        :: alive[3] && !holds[3] && !accepted -> holds[3] = 1
        :: failures == 1 && !accepted && i < 3 && !alive[i] && caughtUp -> voter[i] = 0; voter[3] = 1; accepted = 1
        :: accepted && failures == 1 && alive[i] -> alive[i] = 0; failures = 2
        :: accepted && failures == 2 -> break
        fi;
        count = (live(0) -> 1 : 0) + (live(1) -> 1 : 0) + (live(2) -> 1 : 0) + (live(3) -> 1 : 0);
        assert(!accepted || count >= 2);
        assert(!accepted || (live(0) && holds[0]) || (live(1) && holds[1]) || (live(2) && holds[2]) || (live(3) && holds[3]));
        i = 0; count = 0
       }
    od
}
