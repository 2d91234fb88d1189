package mintstair.registry;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import mintstair.config.RegistryConfig;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;

/** The command {@code registry watch}. Prints one line for each change until its thread is interrupted. */
final class RegistryChangePrinter {
    private final RegistryConfig config;
    private final PrintStream out;

    RegistryChangePrinter(RegistryConfig config, PrintStream out) {
        this.config = config;
        this.out = out;
    }

    /** Prints changes until the thread is interrupted; returns the exit status. */
    int run() {
        CountDownLatch never = new CountDownLatch(1);
        try (RegistryClient client =
                new RegistryClient(config, ViewTimeouts.DEFAULT, System.nanoTime(), this::onUpdates)) {
            client.start();
            never.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return RegistryCommand.STATUS_OK;
    }

    private void onUpdates(List<ViewUpdate> updates, RegistryView view) {
        updates.forEach(this::print);
    }

    private void print(ViewUpdate update) {
        if (update instanceof ViewUpdate.Endpoints endpoints) {
            String prefix = endpoints.list().revision() + " " + endpoints.front() + " ";
            for (EndpointList.Entry entry : endpoints.list().entries()) {
                out.println(prefix + entry.host() + " " + describe(entry));
            }
        } else if (update instanceof ViewUpdate.Settings settings) {
            out.println(settings.revision() + " settings " + settings.text().length + " bytes");
        } else if (update instanceof ViewUpdate.LogLine line) {
            System.err.println(line.text());
        }
    }

    /** Returns a description of a host on one line, without its name. */
    static String describe(EndpointList.Entry entry) {
        String role = entry.primary() ? " primary" : "";
        return stateName(entry.state()) + " " + entry.endpoint() + " group=" + entry.cluster() + role;
    }

    /** Returns the name of a state in the format of the endpoint list. */
    private static String stateName(EndpointList.State state) {
        return switch (state) {
            case SERVING -> "SERVING";
            case DRAINING -> "DRAINING";
            case REMOVED -> "DELETED";
        };
    }
}
