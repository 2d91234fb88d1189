package mintstair;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;
import mintstair.time.WallClock;
import org.junit.jupiter.api.Test;

/**
 * The core knows no wire, network code none of the module's events and actions, and modules without I/O are without
 * it.
 */
class LayeringTest {
    /** Modules that decide: their time and chance come from outside, and nothing leaves them but what they return. */
    private static final String[] PURE = {
        "mintstair.decision..",
        "mintstair.routing..",
        "mintstair.retry..",
        "mintstair.registry.view..",
        "mintstair.membership.swim..",
        "mintstair.discovery.pace.."
    };

    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("mintstair");

    private static ArchRule uses(String[] packages, String... forbidden) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbidden);
    }

    /** Reading the clock, or chance that nobody seeds. */
    private static ArchRule clocksIn(String... packages) {
        Set<String> calls = Set.of(
                "java.lang.System.currentTimeMillis",
                "java.lang.System.nanoTime",
                "java.time.Instant.now",
                "java.lang.Math.random");
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .callMethodWhere(new DescribedPredicate<JavaAccess<?>>("reads a clock") {
                    @Override
                    public boolean test(JavaAccess<?> access) {
                        return calls.contains(access.getTargetOwner().getFullName() + "."
                                + access.getTarget().getName());
                    }
                });
    }

    /** Reading the wall clock, by which no span is measured. */
    private static ArchRule wallClockOutside(Class<?>... readers) {
        Set<String> calls = Set.of(
                "java.lang.System.currentTimeMillis",
                "java.time.Instant.now",
                "java.time.Clock.systemUTC",
                "java.util.Date.<init>",
                "java.time.ZonedDateTime.now",
                "java.time.LocalDateTime.now",
                "java.time.OffsetDateTime.now");
        return noClasses()
                .that()
                .doNotBelongToAnyOf(readers)
                .should()
                .accessTargetWhere(new DescribedPredicate<JavaAccess<?>>("reads the wall clock") {
                    @Override
                    public boolean test(JavaAccess<?> access) {
                        return calls.contains(access.getTargetOwner().getFullName() + "."
                                + access.getTarget().getName());
                    }
                });
    }

    @Test
    void onlyOneClassReadsTheWallClock() {
        wallClockOutside(WallClock.class).check(PROGRAM);
        assertThrows(
                AssertionError.class,
                () -> wallClockOutside(LayeringTest.class).check(PROGRAM),
                "the rule catches what it is for");
    }

    @Test
    void coreKnowsNoWire() {
        uses(
                        new String[] {
                            "mintstair.decision..", "mintstair.request..", "mintstair.routing..", "mintstair.proxy.."
                        },
                        "org.glassfish.grizzly..",
                        "org.bson..",
                        "io.grpc..",
                        "mintstair.wire..",
                        "mintstair.front..",
                        "mintstair.backend..",
                        "mintstair.registry..",
                        "mintstair.membership..",
                        "java.net..",
                        "java.nio.channels..")
                .check(PROGRAM);
    }

    @Test
    void networkCodeNeverSeesTheModule() {
        uses(
                        new String[] {
                            "mintstair.front..",
                            "mintstair.backend..",
                            "mintstair.discovery..",
                            "mintstair.wire..",
                            "mintstair.serve..",
                            "mintstair.proxy..",
                            "mintstair.registry..",
                            "mintstair.membership.."
                        },
                        "mintstair.decision..")
                .check(PROGRAM);
    }

    @Test
    void configurationLeansOnNoPartThatItConfigures() {
        uses(
                        new String[] {"mintstair.config.."},
                        "mintstair.discovery..",
                        "mintstair.registry..",
                        "mintstair.membership..",
                        "mintstair.store..",
                        "mintstair.proxy..",
                        "mintstair.serve..")
                .check(PROGRAM);
    }

    @Test
    void modulesWithoutInputAndOutputHaveNone() {
        uses(
                        PURE,
                        "java.net..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "org.glassfish.grizzly..",
                        "io.grpc..")
                .because("they are played in virtual time")
                .check(PROGRAM);
        clocksIn(PURE).check(PROGRAM);
        noClasses()
                .that()
                .resideInAnyPackage(PURE)
                .should()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(PROGRAM);
        classes()
                .that()
                .resideInAPackage("mintstair.registry.view..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "mintstair.registry.view..",
                        "mintstair.config..",
                        "mintstair.request..",
                        "mintstair.retry..",
                        "java..")
                .check(PROGRAM);
    }

    /** The rules catch what they are for: the same said of packages that do read clocks and open sockets fails. */
    @Test
    void theRulesCatchWhatTheyAreFor() {
        assertThrows(
                AssertionError.class, () -> clocksIn("mintstair.registry..").check(PROGRAM));
        assertThrows(
                AssertionError.class,
                () -> uses(new String[] {"mintstair.discovery.."}, "java.net..").check(PROGRAM));
        assertThrows(
                AssertionError.class,
                () -> uses(new String[] {"mintstair.store.."}, "java.util.concurrent..")
                        .check(PROGRAM));
    }
}
