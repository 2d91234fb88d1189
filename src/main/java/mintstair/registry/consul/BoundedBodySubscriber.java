package mintstair.registry.consul;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Collects the body of a response; a body that exceeds the limit completes with an {@link IOException}. */
final class BoundedBodySubscriber implements HttpResponse.BodySubscriber<byte[]> {
    private final long maxBytes;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private Flow.Subscription subscription;

    BoundedBodySubscriber(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    static HttpResponse.BodyHandler<byte[]> handler(long maxBytes) {
        return responseInfo -> new BoundedBodySubscriber(maxBytes);
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        subscription.request(1);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (received.size() + buffer.remaining() > maxBytes) {
                subscription.cancel();
                body.completeExceptionally(new IOException("an answer of more than " + maxBytes + " bytes"));
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            received.writeBytes(bytes);
        }
        subscription.request(1);
    }

    @Override
    public void onError(Throwable cause) {
        body.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        body.complete(received.toByteArray());
    }
}
