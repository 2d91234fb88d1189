package mintstair.pcap;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/**
 * Reads a capture's headers and bodies, and distinguishes a file that ends between two of them from a truncated
 * one.
 */
final class CaptureInput implements Closeable {
    private final InputStream in;

    CaptureInput(InputStream in) {
        this.in = in;
    }

    /**
     * Reads exactly {@code length} bytes.
     *
     * @return the bytes, or null where the file ends before the first of them
     * @throws MalformedCaptureException where the file ends after the first of them
     */
    byte[] readOrEnd(int length, String what) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length == 0) {
            return null;
        }
        return requireWhole(bytes, length, what);
    }

    /**
     * Reads exactly {@code length} bytes.
     *
     * @throws MalformedCaptureException where the file has fewer
     */
    byte[] readFully(int length, String what) throws IOException {
        return requireWhole(in.readNBytes(length), length, what);
    }

    private static byte[] requireWhole(byte[] bytes, int length, String what) throws MalformedCaptureException {
        if (bytes.length < length) {
            throw new MalformedCaptureException("the file ends within " + what);
        }
        return bytes;
    }

    /**
     * Skips exactly {@code length} bytes.
     *
     * @throws MalformedCaptureException where the file has fewer
     */
    void skip(int length, String what) throws IOException {
        try {
            in.skipNBytes(length);
        } catch (EOFException e) {
            throw new MalformedCaptureException("the file ends within " + what, e);
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
