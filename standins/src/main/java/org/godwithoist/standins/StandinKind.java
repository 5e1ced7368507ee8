package org.godwithoist.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.engine.EngineOptions;
import org.godwithoist.standins.engine.EngineStandin;
import org.godwithoist.standins.platform.PlatformStandin;
import org.godwithoist.standins.service.ServiceStandin;

/** Kinds of stand-ins that can run as a separate process. */
public enum StandinKind {
    /** The platform services: tables, objects, host list and model weights. */
    PLATFORM {
        @Override
        Future<HttpServer> listen(
                Vertx vertx, Endpoint endpoint, String id, EngineOptions options) {
            return new PlatformStandin(vertx).listen(endpoint);
        }
    },
    /** A model engine. */
    ENGINE {
        @Override
        Future<HttpServer> listen(
                Vertx vertx, Endpoint endpoint, String id, EngineOptions options) {
            return new EngineStandin(vertx, id, options).listen(endpoint);
        }
    },
    /** A plain service. */
    SERVICE {
        @Override
        Future<HttpServer> listen(
                Vertx vertx, Endpoint endpoint, String id, EngineOptions options) {
            return new ServiceStandin(vertx, id).listen(endpoint);
        }
    };

    /** Starts a stand-in. The options apply to engines only; the other kinds ignore them. */
    abstract Future<HttpServer> listen(
            Vertx vertx, Endpoint endpoint, String id, EngineOptions options);
}
