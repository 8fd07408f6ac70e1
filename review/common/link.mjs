/** A link to an address that can be cut: new channels are refused and open ones reset until it is restored. */
import { connect, createServer } from "node:net";

export class Link {
    constructor(target) {
        this.target = target;
        this.isCut = false;
        this.sockets = new Set();
        this.server = createServer(socket => this.accept(socket));
    }

    listen(host) {
        return new Promise(resolve =>
            this.server.listen(0, host, () => resolve(`${host}:${this.server.address().port}`)),
        );
    }

    accept(socket) {
        if (this.isCut) {
            socket.resetAndDestroy();
            return;
        }
        const [host, port] = this.target.split(":");
        const upstream = connect({ host, port: Number(port), noDelay: true });
        socket.setNoDelay(true);
        for (const [one, other] of [
            [socket, upstream],
            [upstream, socket],
        ]) {
            this.sockets.add(one);
            one.on("error", () => undefined);
            one.once("close", () => {
                this.sockets.delete(one);
                other.destroy();
            });
        }
        socket.pipe(upstream);
        upstream.pipe(socket);
    }

    cut() {
        this.isCut = true;
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    restore() {
        this.isCut = false;
    }

    close() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}
