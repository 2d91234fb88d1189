package mintstair.pcap;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** Reads the frames of one capture, one at a time, whatever its format. Not safe for use by several threads. */
interface CaptureReader extends Closeable {
    /**
     * No frame or block of a capture is longer: a length above this is read as damage instead of being allocated.
     */
    int MAX_BLOCK_BYTES = 1 << 20;

    /** Bytes that are read from the file at once. */
    int READ_BUFFER_BYTES = 256 * 1024;

    /**
     * Reads the next frame.
     *
     * @return the frame, or null at the end of the file
     * @throws MalformedCaptureException where the file ends within a frame, or goes on with what is none; nothing
     *     can be read
     *     after it
     */
    CapturedFrame next() throws IOException;

    /** Opens a file, whose format its first bytes tell. */
    static CaptureReader open(Path file) throws IOException {
        return open(CaptureSource.ofFile(file));
    }

    /**
     * Opens a capture, whose format its first bytes tell.
     *
     * @throws MalformedCaptureException where it is neither pcap nor pcapng
     */
    static CaptureReader open(CaptureSource source) throws IOException {
        InputStream in = new BufferedInputStream(source.open(), READ_BUFFER_BYTES);
        try {
            return open(in);
        } catch (IOException e) {
            in.close();
            throw e;
        }
    }

    private static CaptureReader open(InputStream in) throws IOException {
        byte[] magicBytes = in.readNBytes(Integer.BYTES);
        int magic = magicBytes.length < Integer.BYTES
                ? 0
                : ByteBuffer.wrap(magicBytes).getInt();
        CaptureInput input = new CaptureInput(in);
        if (magic == PcapNgReader.SECTION_HEADER) {
            return new PcapNgReader(input);
        }
        if (ClassicPcapReader.isMagic(magic)) {
            return new ClassicPcapReader(input, magic);
        }
        throw new MalformedCaptureException("no pcap or pcapng file");
    }
}
