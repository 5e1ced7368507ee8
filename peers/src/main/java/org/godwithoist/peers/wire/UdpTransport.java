package org.godwithoist.peers.wire;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.peers.PeerMessage;
import org.godwithoist.peers.PeerTransport;

/** Sends each message as one UDP datagram. */
public final class UdpTransport implements PeerTransport {
    private final DatagramSocket socket;

    /** Used only by the receiving task. */
    private final byte[] buffer = new byte[PeerCodec.MAX_BYTES];

    private UdpTransport(DatagramSocket socket) {
        this.socket = socket;
    }

    /**
     * Opens a transport.
     *
     * @param local local address; port 0 selects an ephemeral port
     */
    public static UdpTransport open(Endpoint local) throws IOException {
        return new UdpTransport(
                new DatagramSocket(new InetSocketAddress(local.ip(), local.port())));
    }

    /** Returns the local port, also when it was chosen by the system. */
    public int port() {
        return socket.getLocalPort();
    }

    @Override
    public void send(PeerMessage message, Endpoint to) throws IOException {
        byte[] bytes = PeerCodec.encode(message);
        InetSocketAddress address = new InetSocketAddress(to.ip(), to.port());
        socket.send(new DatagramPacket(bytes, bytes.length, address));
    }

    @Override
    public Received receive() throws IOException, MalformedMessageException {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        Endpoint from = new Endpoint(packet.getAddress().getHostAddress(), packet.getPort());
        try {
            return new Received(PeerCodec.decode(buffer, packet.getLength()), from);
        } catch (MalformedMessageException e) {
            throw new MalformedMessageException(from + ": " + e.getMessage());
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
