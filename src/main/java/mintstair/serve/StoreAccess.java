package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import mintstair.config.FirstLine;
import mintstair.config.OperatorConfig;
import mintstair.store.Store;

/**
 * The access of this process to the store: as the configured member or, while a predecessor is that member, as a client
 * of the group. The lock on the member's directory decides which process is the member, so that two never are. At
 * shutdown the member is released, so that a successor can take it over while the last clients are still served.
 * Thread-safe.
 */
final class StoreAccess implements AutoCloseable {
    /** How long a predecessor may take to release the member after it has stopped listening for clients. */
    private static final Duration MAX_RELEASE_WAIT = Duration.ofSeconds(1);

    private static final Duration RELEASE_POLL_INTERVAL = Duration.ofMillis(50);

    private final OperatorConfig.StoreConfig config;
    private final Object transition = new Object();
    /** Replaced only while {@link #transition} is held. */
    private volatile Store store;

    /** Guarded by {@link #transition}. */
    private boolean released;

    private StoreAccess(OperatorConfig.StoreConfig config, Store store) {
        this.config = config;
        this.store = store;
    }

    /**
     * Starts the member, or a client if a predecessor is the member.
     *
     * @param hasPredecessor whether another process with the same configuration serves clients
     * @throws IOException if the member cannot be started, or another process is the member although there is no
     *     predecessor; the message is one line
     */
    static StoreAccess open(OperatorConfig.StoreConfig config, boolean hasPredecessor) throws IOException {
        if (!hasPredecessor) {
            awaitRelease(config);
        } else if (isHeld(config)) {
            return besidePredecessor(config);
        }
        try {
            return new StoreAccess(config, startMember(config));
        } catch (IOException | CompletionException e) {
            if (hasPredecessor && isHeld(config)) {
                // Another successor has taken the member over meanwhile.
                return besidePredecessor(config);
            }
            throw new StartupException("store: " + reason(e), e);
        }
    }

    private static StoreAccess besidePredecessor(OperatorConfig.StoreConfig config) throws IOException {
        InetSocketAddress address = config.members().get(config.member());
        if (!LocalAddresses.isLocal(address)) {
            throw new StartupException("store: " + address.getHostString() + " is not an address of this machine");
        }
        if (!Files.isDirectory(config.folder()) || !Files.isWritable(config.folder())) {
            throw new StartupException("store: " + config.folder() + " is not a directory that can be written");
        }
        System.out.println("store: a predecessor is member " + config.member()
                + "; taking it over when the predecessor releases it");
        return new StoreAccess(config, Store.createClient(config.members()));
    }

    /** Returns whether another process runs the member: it holds the directory, the address, or both. */
    private static boolean isHeld(OperatorConfig.StoreConfig config) {
        return Store.isInUse(config.folder()) || isAddressInUse(config);
    }

    private static boolean isAddressInUse(OperatorConfig.StoreConfig config) {
        InetSocketAddress address = config.members().get(config.member());
        return !address.isUnresolved() && ListeningSockets.countAt(address) > 0;
    }

    /**
     * Waits until no other process holds the directory and the address, as one that has just stopped listening for
     * clients may for a moment.
     *
     * @throws IOException if one is still held after {@link #MAX_RELEASE_WAIT}
     */
    private static void awaitRelease(OperatorConfig.StoreConfig config) throws IOException {
        long endNanos = System.nanoTime() + MAX_RELEASE_WAIT.toNanos();
        while (isHeld(config)) {
            if (System.nanoTime() > endNanos) {
                Object held = Store.isInUse(config.folder())
                        ? config.folder()
                        : config.members().get(config.member());
                throw new StartupException("store: " + held + " is in use by another process");
            }
            try {
                Thread.sleep(RELEASE_POLL_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while waiting for " + config.folder(), e);
            }
        }
    }

    private static Store startMember(OperatorConfig.StoreConfig config) throws IOException {
        return Store.startMember(config.member(), config.members(), config.folder());
    }

    /** Returns the first line that says why the member could not be started. */
    static String reason(Exception failure) {
        return FirstLine.of(failure.getCause() == null ? failure : failure.getCause());
    }

    /** Returns the member or client that is in use now; it may be replaced, and closed, at any time. */
    Store store() {
        return store;
    }

    boolean isMember() {
        return store.isMember();
    }

    /**
     * Becomes the member, unless another process still is, or this one already is or has released it.
     *
     * @throws IOException if the member cannot be started; this process stays a client
     */
    void takeOver() throws IOException {
        synchronized (transition) {
            if (released || store.isMember() || isHeld(config)) {
                return;
            }
            Store client = store;
            store = startMember(config);
            System.out.println("store: took over member " + config.member());
            client.close();
        }
    }

    /** Releases the member for a successor; this process goes on as a client. Does nothing at later calls. */
    void release() throws IOException {
        synchronized (transition) {
            boolean wasMember = !released && store.isMember();
            released = true;
            if (wasMember) {
                Store member = store;
                store = Store.createClient(config.members());
                member.close();
                System.out.println("store: released member " + config.member());
            }
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (transition) {
            released = true;
            store.close();
        }
    }
}
