package mintstair.serve;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import mintstair.config.FirstLine;
import mintstair.control.ControlCommands;
import mintstair.log.GuardedTask;
import mintstair.stats.MetricsSnapshot;

/**
 * The participation of this process in its fleet: from the start or, beside a predecessor with the same name and
 * address, as soon as the predecessor has left. Until then the fleet size is reported as unsettled, so that this proxy
 * uses only its guaranteed part of the limits that the members share, as the predecessor uses both. Thread-safe.
 */
final class FleetParticipation {
    private static final Duration JOIN_INTERVAL = Duration.ofMillis(250);

    private final GracefulShutdown shutdown;
    private final ControlCommands commands;
    private final MembershipFactory factory;
    private final Runnable onPostponed;
    private volatile MembershipService membership;
    /** Why the fleet could not be joined at the last attempt; confined to the thread that retries. */
    private String lastFailure = "";

    /** Binds the sockets of a member. */
    interface MembershipFactory {
        MembershipService create() throws IOException;
    }

    /**
     * Creates the participation of a process that has not joined yet.
     *
     * @param onPostponed is called if the fleet cannot be joined before a predecessor has left
     */
    FleetParticipation(
            GracefulShutdown shutdown, ControlCommands commands, MembershipFactory factory, Runnable onPostponed) {
        this.shutdown = shutdown;
        this.commands = commands;
        this.factory = factory;
        this.onPostponed = onPostponed;
    }

    /**
     * Joins the fleet unless the process is terminating.
     *
     * @param mayBeHeld whether a predecessor may hold the address, in which case the fleet is joined later
     * @throws IOException if the address cannot be used for another reason
     */
    void join(boolean mayBeHeld) throws IOException {
        try {
            tryJoin();
        } catch (IOException e) {
            if (!mayBeHeld || !isBindFailure(e)) {
                throw e;
            }
            System.out.println("membership: a predecessor is the member; joining when it has left");
            onPostponed.run();
            joinLater();
        }
    }

    private void tryJoin() throws IOException {
        shutdown.unlessTerminating(() -> {
            MembershipService joined = SocketRetry.retry(factory::create);
            shutdown.leaveOnExit(joined);
            commands.setMembers(joined::lines);
            joined.start();
            membership = joined;
        });
    }

    private static boolean isBindFailure(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return true;
            }
        }
        return false;
    }

    private void joinLater() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "fleet-join");
            thread.setDaemon(true);
            return thread;
        });
        Runnable attempt = new GuardedTask("membership", () -> retryJoin(executor));
        executor.scheduleWithFixedDelay(
                attempt, JOIN_INTERVAL.toMillis(), JOIN_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void retryJoin(ScheduledExecutorService executor) {
        try {
            tryJoin();
            executor.shutdown();
        } catch (IOException e) {
            String reason = FirstLine.of(e);
            if (!isBindFailure(e) && !reason.equals(lastFailure)) {
                System.err.println(reason + "; trying again");
            }
            lastFailure = reason;
        }
    }

    /** Adds the metrics of the member, if the fleet has been joined. */
    void addTo(MetricsSnapshot.Builder metrics) {
        MembershipService joined = membership;
        if (joined != null) {
            joined.addTo(metrics);
        }
    }
}
