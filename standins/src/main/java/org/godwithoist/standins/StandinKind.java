package org.godwithoist.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.engine.EngineStandin;
import org.godwithoist.standins.platform.PlatformStandin;

/** Kinds of stand-ins. */
public enum StandinKind {
    /** The platform's table service, object store, host list and weight store. */
    PLATFORM {
        @Override
        public Future<Integer> start(Vertx vertx, Endpoint endpoint, String id) {
            return new PlatformStandin(vertx).listen(endpoint).map(HttpServer::actualPort);
        }
    },
    /** A model engine. */
    ENGINE {
        @Override
        public Future<Integer> start(Vertx vertx, Endpoint endpoint, String id) {
            return new EngineStandin(vertx, id).listen(endpoint).map(HttpServer::actualPort);
        }
    };

    /**
     * Starts a stand-in.
     *
     * @return the port on which it listens
     */
    public abstract Future<Integer> start(Vertx vertx, Endpoint endpoint, String id);
}
