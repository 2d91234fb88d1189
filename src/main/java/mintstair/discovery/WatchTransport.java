package mintstair.discovery;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Sends HTTP/1.1 requests to one discovery service and receives its responses, over Grizzly. Methods do not block and
 * may be called on any thread; all callbacks run on the event loop.
 */
final class WatchTransport {
    /** Receives the events of connections, on the event loop. */
    interface Listener {
        /** Called when a response is complete. */
        void onResponse(Connection<?> connection, DiscoveryResponse response);

        /** Called when a connection closed, unless its end completed a response. */
        void onClose(Connection<?> connection);
    }

    private static final String LIST_PATH = "/registry/instances";
    /**
     * The largest body that is accepted: ten times an indented list of 1,024 endpoints. Limits the heap that an endless
     * response takes up before it is overdue; the buffer of the body is copied as it grows.
     */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final TCPNIOConnectorHandler connector;

    WatchTransport(EventLoop loop, TCPNIOTransport transport, InetSocketAddress address, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        FilterChain filters = FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new HttpClientFilter())
                .add(new ResponseFilter())
                .build();
        connector = TCPNIOConnectorHandler.builder(transport).processor(filters).build();
    }

    /** Starts to connect. Cancelling the returned future ends the attempt, after which neither callback runs. */
    GrizzlyFuture<Connection> connect(Consumer<Connection<?>> onConnected, Runnable onFailure) {
        GrizzlyFuture<Connection> attempt = connector.connect(address);
        attempt.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                loop.execute(() -> onConnected.accept(connection));
            }

            @Override
            public void failed(Throwable cause) {
                loop.execute(onFailure);
            }
        });
        return attempt;
    }

    /** Requests a snapshot of the endpoint list. */
    void requestSnapshot(Connection<?> connection) {
        connection.write(listRequest().build());
    }

    /**
     * Requests the changes after a revision.
     *
     * @param waitMicros how long the service holds the request if there is no change; it is sent in whole milliseconds
     */
    void requestDelta(Connection<?> connection, long revision, long waitMicros) {
        HttpRequestPacket.Builder request = listRequest();
        request.query("index=" + revision + "&wait=" + waitMicros / 1000);
        connection.write(request.build());
    }

    private HttpRequestPacket.Builder listRequest() {
        return HttpRequestPacket.builder()
                .method(Method.GET)
                .uri(LIST_PATH)
                .protocol(Protocol.HTTP_1_1)
                .header("Host", address.getHostString() + ":" + address.getPort());
    }

    /**
     * Assembles responses from their parts, and passes complete responses and closed connections to the event loop.
     * Runs on the network thread.
     */
    private final class ResponseFilter extends BaseFilter {
        /**
         * A response that has arrived in part.
         *
         * @param body what has arrived of the body
         * @param closeDelimited whether the response has no length, so that the end of the connection ends it
         */
        private record PartialResponse(ByteArrayOutputStream body, int status, boolean closeDelimited) {}

        private final Attribute<PartialResponse> partialResponses = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
                "discovery.response." + System.identityHashCode(this));

        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            Connection<?> connection = context.getConnection();
            PartialResponse partial = partialResponse(connection, content);
            append(content.getContent(), partial);
            boolean last = content.isLast();
            content.recycle();
            if (last) {
                partialResponses.remove(connection);
                complete(connection, partial, false);
            } else if (partial.body.size() > MAX_BODY_BYTES) {
                partialResponses.remove(connection);
                connection.closeSilently();
            }
            return context.getStopAction();
        }

        private PartialResponse partialResponse(Connection<?> connection, HttpContent content) {
            PartialResponse partial = partialResponses.get(connection);
            if (partial == null) {
                HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
                boolean closeDelimited = !head.isChunked() && head.getContentLength() < 0;
                partial = new PartialResponse(new ByteArrayOutputStream(), head.getStatus(), closeDelimited);
                partialResponses.set(connection, partial);
            }
            return partial;
        }

        private static void append(Buffer content, PartialResponse partial) {
            byte[] bytes = new byte[content.remaining()];
            content.get(bytes);
            partial.body.writeBytes(bytes);
        }

        private void complete(Connection<?> connection, PartialResponse partial, boolean connectionClosed) {
            DiscoveryResponse response =
                    new DiscoveryResponse(partial.status, partial.body.toByteArray(), connectionClosed);
            loop.execute(() -> listener.onResponse(connection, response));
        }

        /**
         * Completes a response that the end of the connection delimits. Since a reset connection cannot be told from
         * one that was closed, such a response counts as complete only if its body is a complete JSON text.
         */
        @Override
        public NextAction handleClose(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            PartialResponse partial = partialResponses.remove(connection);
            if (partial != null
                    && partial.closeDelimited
                    && EndpointListParser.isCompleteJson(partial.body.toByteArray())) {
                complete(connection, partial, true);
            } else {
                loop.execute(() -> listener.onClose(connection));
            }
            return context.getStopAction();
        }
    }
}
