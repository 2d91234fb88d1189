package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Selects probe targets in shuffled rounds (SWIM's round-robin probing, which bounds the time until each member is
 * probed) and random subsets of the members.
 */
final class PeerSelector {
    private final Random random;
    private final List<String> round = new ArrayList<>();
    private int position;

    PeerSelector(Random random) {
        this.random = random;
    }

    /**
     * Inserts a new member at a random position in the rest of the current round, so that the other members do not all
     * probe it at the same time.
     */
    void memberAdded(String name) {
        round.add(position + random.nextInt(round.size() - position + 1), name);
    }

    /** Returns the next eligible name of the round; null if no name is eligible. */
    String nextTarget(Collection<String> names, Predicate<String> eligible) {
        // Searches the rest of the current round, then one new round.
        for (int rounds = 0; rounds < 2; rounds++) {
            while (position < round.size()) {
                String name = round.get(position++);
                if (eligible.test(name)) {
                    return name;
                }
            }
            round.clear();
            round.addAll(names);
            Collections.shuffle(round, random);
            position = 0;
        }
        return null;
    }

    /** Returns up to {@code count} random eligible members. */
    List<Member> randomSubset(Collection<Member> members, int count, Predicate<Member> eligible) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : members) {
            if (eligible.test(member)) {
                candidates.add(member);
            }
        }
        List<Member> subset = new ArrayList<>();
        while (subset.size() < count && !candidates.isEmpty()) {
            int chosen = random.nextInt(candidates.size());
            subset.add(candidates.get(chosen));
            // Moving the last candidate to the gap removes the chosen one in constant time.
            candidates.set(chosen, candidates.get(candidates.size() - 1));
            candidates.remove(candidates.size() - 1);
        }
        return subset;
    }
}
