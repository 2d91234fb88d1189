package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import mintstair.config.OperatorConfig;
import mintstair.pcap.PcapWriter;
import mintstair.proxy.EventLoop;
import mintstair.wire.Recorder;

/** Records client traffic to a pcap file; a file that cannot be written ends the recording, not the service. */
final class PcapRecorder implements Recorder {
    private static final long FLUSH_EVERY = 1_000_000;

    private final EventLoop loop;
    private final PcapWriter file;
    private boolean broken;

    PcapRecorder(EventLoop loop, OperatorConfig.Recording recording) throws IOException {
        this.loop = loop;
        file = new PcapWriter(recording.file(), recording.maxBytes());
        loop.at(loop.now(), this::flush);
    }

    /** Writes one thing, if all before it could be written. */
    private interface Writing {
        void write(long time) throws IOException;
    }

    private void attempt(Writing writing) {
        if (!broken) {
            try {
                writing.write(loop.now());
            } catch (IOException e) {
                broken = true;
                System.err.println("the recording ends: " + e.getMessage());
            }
        }
    }

    void flush() {
        attempt(time -> file.flush());
        loop.at(loop.now() + FLUSH_EVERY, this::flush);
    }

    @Override
    public Conversation begin(InetSocketAddress client, InetSocketAddress proxy) {
        PcapWriter.Conversation[] begun = new PcapWriter.Conversation[1];
        attempt(time -> begun[0] = file.new Conversation(time, client, proxy));
        return begun[0] == null
                ? Conversation.NONE
                : new Conversation() {
                    @Override
                    public void said(boolean byClient, byte[] bytes) {
                        attempt(time -> begun[0].said(time, byClient, bytes));
                    }

                    @Override
                    public void ended() {
                        attempt(time -> begun[0].ended(time));
                    }
                };
    }
}
