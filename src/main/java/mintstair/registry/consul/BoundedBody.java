package mintstair.registry.consul;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** The bytes of an answer, up to a bound; a longer one fails. */
final class BoundedBody implements HttpResponse.BodySubscriber<byte[]> {
    private final long most;
    private final CompletableFuture<byte[]> whole = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Flow.Subscription subscription;

    BoundedBody(long most) {
        this.most = most;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return whole;
    }

    @Override
    public void onSubscribe(Flow.Subscription given) {
        subscription = given;
        given.request(1);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (bytes.size() + buffer.remaining() > most) {
                subscription.cancel();
                whole.completeExceptionally(new IOException("an answer of more than " + most + " bytes"));
                return;
            }
            byte[] part = new byte[buffer.remaining()];
            buffer.get(part);
            bytes.writeBytes(part);
        }
        subscription.request(1);
    }

    @Override
    public void onError(Throwable why) {
        whole.completeExceptionally(why);
    }

    @Override
    public void onComplete() {
        whole.complete(bytes.toByteArray());
    }
}
