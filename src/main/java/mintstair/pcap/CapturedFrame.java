package mintstair.pcap;

import java.nio.ByteBuffer;

/**
 * One frame of a capture file.
 *
 * @param timestampNanos Unix time in nanoseconds; a frame without a timestamp has that of the frame before
 * @param linkType the link-layer header type, see {@link LinkLayer}
 * @param data what was captured, from index 0 to the limit
 * @param originalLength length of the frame in bytes before the snapshot length cut it
 */
record CapturedFrame(long timestampNanos, int linkType, ByteBuffer data, int originalLength) {
    CapturedFrame withTimestamp(long nanos) {
        return new CapturedFrame(nanos, linkType, data, originalLength);
    }
}
