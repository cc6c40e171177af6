export { startGateway, type Gateway, type GatewayParts } from './gateway';
export { main } from './main';
export { VERSION } from './version';
