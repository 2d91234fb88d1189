package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/** Whom to ask next: shuffled rounds, so that each member is asked once in a round whatever chance does; and a few at random. */
final class ProbeOrder {
    private final Random random;
    private final List<String> round = new ArrayList<>();
    private int at;

    ProbeOrder(Random random) {
        this.random = random;
    }

    /** A new one comes somewhere into what is left of the round: not always last, and not asked by all at once. */
    void added(String name) {
        round.add(at + random.nextInt(round.size() - at + 1), name);
    }

    /** The next in turn that fits; null where none does. */
    String next(Collection<String> all, Predicate<String> fits) {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (at < round.size()) {
                String name = round.get(at++);
                if (fits.test(name)) {
                    return name;
                }
            }
            round.clear();
            round.addAll(all);
            Collections.shuffle(round, random);
            at = 0;
        }
        return null;
    }

    /** Up to so many that fit, by chance. */
    List<String> few(Collection<String> all, int most, Predicate<String> fits) {
        List<String> fitting = new ArrayList<>();
        for (String name : all) {
            if (fits.test(name)) {
                fitting.add(name);
            }
        }
        List<String> few = new ArrayList<>();
        while (few.size() < most && !fitting.isEmpty()) {
            int i = random.nextInt(fitting.size());
            few.add(fitting.get(i));
            fitting.set(i, fitting.get(fitting.size() - 1));
            fitting.remove(fitting.size() - 1);
        }
        return few;
    }
}
